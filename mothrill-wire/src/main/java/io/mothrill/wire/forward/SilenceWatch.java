package io.mothrill.wire.forward;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

/**
 * Watches for an upstream that says nothing; confined to its request's event loop.
 *
 * <p>Nothing else shows an upstream that is dead or cut off without a reset.
 */
final class SilenceWatch {

  private final Timers timers;
  private final Executor loop;
  private final long limitMs;
  private final LongConsumer onSilent;
  private Subscription check = () -> {};
  private long heardMs;
  private boolean over;

  /**
   * Creates a watch that does not run yet.
   *
   * @param timers the time
   * @param loop where silence is told
   * @param limitMs how long an upstream may say nothing
   * @param onSilent is told for how long it has said nothing, and again each time that much more
   *     has passed
   */
  SilenceWatch(Timers timers, Executor loop, long limitMs, LongConsumer onSilent) {
    this.timers = timers;
    this.loop = loop;
    this.limitMs = limitMs;
    this.onSilent = onSilent;
  }

  void start() {
    heardMs = timers.nowMs();
    checkIn(limitMs);
  }

  void onHeard() {
    heardMs = timers.nowMs();
  }

  /** Gives when something was heard last. */
  long heardMs() {
    return heardMs;
  }

  void stop() {
    over = true;
    check.cancel();
  }

  private void checkIn(long delayMs) {
    check.cancel();
    check = timers.after(delayMs, () -> loop.execute(this::check));
  }

  private void check() {
    if (over) {
      return;
    }
    long silentMs = timers.nowMs() - heardMs;
    if (silentMs < limitMs) {
      checkIn(limitMs - silentMs);
      return;
    }
    checkIn(limitMs);
    onSilent.accept(silentMs);
  }
}
