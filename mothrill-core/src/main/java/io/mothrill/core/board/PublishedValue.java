package io.mothrill.core.board;

import io.mothrill.core.time.Subscription;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * One immutable value that one controller writes and any thread reads without a lock.
 *
 * <pre>{@code
 * Section<Integer> section = new Section<>(1);
 * section.subscribe(value -> react(value));
 * section.publish(2);
 * }</pre>
 *
 * @param <T> an immutable type
 */
public final class PublishedValue<T> {

  private final AtomicReference<T> current;
  private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();

  /**
   * Creates a section.
   *
   * @param first the value until the first publication
   */
  public PublishedValue(T first) {
    this.current = new AtomicReference<>(first);
  }

  /**
   * Reads the value.
   *
   * @return the value published last
   */
  public T read() {
    return current.get();
  }

  /**
   * Replaces the value and tells the listeners.
   *
   * @param next the new value
   */
  public void publish(T next) {
    update(before -> next);
  }

  /**
   * Replaces the value by one made from it, and tells the listeners when it changed.
   *
   * @param change makes the next value; may be called again when two threads race
   */
  public void update(UnaryOperator<T> change) {
    T before = current.get();
    T next = change.apply(before);
    while (!current.compareAndSet(before, next)) {
      before = current.get();
      next = change.apply(before);
    }

    if (before != next) {
      listeners.forEach(listener -> listener.accept(current.get()));
    }
  }

  /**
   * Registers a listener for later values.
   *
   * @param listener called on the publishing thread; must not block
   * @return a handle that ends the registration
   */
  public Subscription subscribe(Consumer<T> listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }
}
