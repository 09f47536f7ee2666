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
final class IdleTimer {

  private final Timers timers;
  private final Executor loop;
  private final long timeoutMs;
  private final LongConsumer onIdle;
  private Subscription check = () -> {};
  private long lastReceivedMs;
  private boolean stopped;

  /**
   * Creates a watch that does not run yet.
   *
   * @param timers the time
   * @param loop where silence is told
   * @param limitMs how long an upstream may say nothing
   * @param onSilent is told for how long it has said nothing, and again each time that much more
   *     has passed
   */
  IdleTimer(Timers timers, Executor loop, long limitMs, LongConsumer onSilent) {
    this.timers = timers;
    this.loop = loop;
    this.timeoutMs = limitMs;
    this.onIdle = onSilent;
  }

  void start() {
    lastReceivedMs = timers.nowMs();
    checkIn(timeoutMs);
  }

  void onReceived() {
    lastReceivedMs = timers.nowMs();
  }

  /** Gives when something was heard last. */
  long lastReceivedMs() {
    return lastReceivedMs;
  }

  void stop() {
    stopped = true;
    check.cancel();
  }

  private void checkIn(long delayMs) {
    check.cancel();
    check = timers.after(delayMs, () -> loop.execute(this::check));
  }

  private void check() {
    if (stopped) {
      return;
    }
    long silentMs = timers.nowMs() - lastReceivedMs;
    if (silentMs < timeoutMs) {
      checkIn(timeoutMs - silentMs);
      return;
    }
    checkIn(timeoutMs);
    onIdle.accept(silentMs);
  }
}
