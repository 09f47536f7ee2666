package io.mothrill.core.forward.stream;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamListState;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** A list of upstreams that an instance reads from the store at intervals, if it reaches it. */
final class PolledUpstreamList implements UpstreamListState {

  private static final long INTERVAL_MS = 500;
  private static final long HOP_MS = 2;

  private final PublishedValue<UpstreamList> published = new PublishedValue<>(UpstreamList.empty());
  private final Supplier<UpstreamList> store;
  private final BooleanSupplier isReachable;
  private final ManualTimers timers;
  private long completeMs = UNKNOWN_MS;

  /**
   * Creates the list and reads it at once.
   *
   * @param store the list in the store
   * @param isReachable whether the instance runs and reaches the store
   * @param timers the clock, also of the store
   */
  PolledUpstreamList(
      Supplier<UpstreamList> store, BooleanSupplier isReachable, ManualTimers timers) {
    this.store = store;
    this.isReachable = isReachable;
    this.timers = timers;
    timers.after(0, this::refresh);
    timers.every(INTERVAL_MS, this::refresh);
  }

  PublishedValue<UpstreamList> published() {
    return published;
  }

  @Override
  public long readMs() {
    return completeMs;
  }

  @Override
  public long publishedMs() {
    return completeMs;
  }

  @Override
  public CompletableFuture<Long> refresh() {
    CompletableFuture<Long> result = new CompletableFuture<>();
    ifReachable(
        () -> {
          UpstreamList read = store.get();
          long readMs = timers.wallMs();
          ifReachable(() -> result.complete(receive(read, readMs)));
        });
    return result;
  }

  private long receive(UpstreamList read, long readMs) {
    if (readMs > completeMs) {
      completeMs = readMs;
      published.publish(read);
    }
    return readMs;
  }

  private void ifReachable(Runnable arrival) {
    if (isReachable.getAsBoolean()) {
      timers.after(
          HOP_MS,
          () -> {
            if (isReachable.getAsBoolean()) {
              arrival.run();
            }
          });
    }
  }
}
