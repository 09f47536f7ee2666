package io.mothrill.core.board;

import io.mothrill.core.time.Subscription;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * An immutable value that a controller publishes and any thread reads without locking.
 *
 * <pre>{@code
 * PublishedValue<Integer> limit = new PublishedValue<>(1);
 * limit.subscribe(value -> react(value));
 * limit.publish(2);
 * }</pre>
 *
 * @param <T> an immutable type
 */
public final class PublishedValue<T> {

  private final AtomicReference<T> current;
  private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();

  /**
   * Creates the holder.
   *
   * @param first the initial value, in place until the first publication
   */
  public PublishedValue(T first) {
    this.current = new AtomicReference<>(first);
  }

  /**
   * Returns the current value.
   *
   * @return the last published value
   */
  public T read() {
    return current.get();
  }

  /**
   * Replaces the value and notifies the listeners.
   *
   * @param next the new value
   */
  public void publish(T next) {
    update(before -> next);
  }

  /**
   * Replaces the value with one computed from it, and notifies the listeners if it changed.
   *
   * @param change computes the next value; may be called more than once when threads race
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
   * Registers a listener for subsequent values.
   *
   * @param listener called on the publishing thread; must not block
   * @return a handle that removes the listener
   */
  public Subscription subscribe(Consumer<T> listener) {
    listeners.add(listener);
    return () -> listeners.remove(listener);
  }
}
