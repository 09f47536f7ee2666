package io.mothrill.wire.forward;

import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import io.mothrill.wire.time.TimeoutAfterReads;
import io.netty.channel.EventLoop;
import java.util.function.LongConsumer;

/**
 * Detects that nothing was received from an upstream for a given time; confined to the event loop
 * of its request.
 *
 * <p>Nothing else reveals an upstream that is dead or partitioned without a connection reset.
 */
final class IdleTimer {

  /**
   * Idle timeout as a multiple of the target latency; a retryable request is then sent to another
   * upstream.
   */
  private static final long TIMEOUT_TARGETS = 3;

  /**
   * Longer than the pauses of a healthy upstream under load; callers time out after two seconds.
   */
  private static final long MIN_TIMEOUT_MS = 900;

  private final Timers timers;
  private final EventLoop loop;
  private final long timeoutMs;
  private final LongConsumer onIdle;
  private Subscription check = () -> {};
  private long lastReceivedMs;
  private boolean stopped;

  /**
   * Creates a timer that is not running yet.
   *
   * @param timers the clock and timers
   * @param loop the event loop on which the callback runs
   * @param timeoutMs how long nothing may be received
   * @param onIdle receives the time since anything was last received; called again each time the
   *     timeout has passed once more
   */
  IdleTimer(Timers timers, EventLoop loop, long timeoutMs, LongConsumer onIdle) {
    this.timers = timers;
    this.loop = loop;
    this.timeoutMs = timeoutMs;
    this.onIdle = onIdle;
  }

  /** Returns the timeout of a request with a target latency. */
  static long timeoutMs(long targetLatencyMs) {
    return Math.max(MIN_TIMEOUT_MS, TIMEOUT_TARGETS * targetLatencyMs);
  }

  void start() {
    lastReceivedMs = timers.nowMs();
    checkIn(timeoutMs);
  }

  void onReceived() {
    lastReceivedMs = timers.nowMs();
  }

  /** Returns when something was last received. */
  long lastReceivedMs() {
    return lastReceivedMs;
  }

  void stop() {
    stopped = true;
    check.cancel();
  }

  private void checkIn(long delayMs) {
    check.cancel();
    check = timers.after(delayMs, () -> TimeoutAfterReads.run(loop, this::check));
  }

  private void check() {
    if (stopped) {
      return;
    }
    long idleMs = timers.nowMs() - lastReceivedMs;
    if (idleMs < timeoutMs) {
      checkIn(timeoutMs - idleMs);
      return;
    }
    checkIn(timeoutMs);
    onIdle.accept(idleMs);
  }
}
