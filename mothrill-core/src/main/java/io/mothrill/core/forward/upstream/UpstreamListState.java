package io.mothrill.core.forward.upstream;

import java.util.concurrent.CompletableFuture;

/** How far this instance's list of upstreams is known to be complete. */
public interface UpstreamListState {

  /** Stands for an unknown time; earlier than any other. */
  long UNKNOWN_MS = Long.MIN_VALUE / 2;

  /**
   * Returns when the rows from which the list is made were complete. Changes of that time may not
   * be published yet.
   *
   * @return milliseconds on the clock of the store; {@link #UNKNOWN_MS} if not known
   */
  long readMs();

  /**
   * Returns when the published list was complete.
   *
   * @return milliseconds on the clock of the store; {@link #UNKNOWN_MS} if not known
   */
  long publishedMs();

  /**
   * Reads the list from the store.
   *
   * @return when the list was complete, on the clock of the store, once what was read is published;
   *     the read begins after this call, so the list has all upstreams that were registered then;
   *     fails if the store cannot be read
   */
  CompletableFuture<Long> refresh();
}
