package io.mothrill.core.forward.overload;

/**
 * Decides when an instance refuses new connections because its link or processor is saturated.
 *
 * <p>A load balancer may send all connections of a large caller to one instance. Its link is then
 * full, and everything that passes through it waits behind the queued packets: other callers,
 * responses of upstreams, the platform's store. A caller whose connection is refused tries another
 * instance at once, and its request never enters the link. Rejecting the request instead would save
 * nothing, because its body has passed through the link by then.
 *
 * <pre>{@code
 * server.setAccepting(throttle.isOpen(commonDelayMs, timers.nowMs()));
 * }</pre>
 */
public final class ConnectionThrottle {

  /** Delay of everything above which connections are refused: half the target of fast requests. */
  private static final double MAX_DELAY_MS = 150;

  /** Delay below which connections are accepted again; well above the jitter of an idle link. */
  private static final double LOW_DELAY_MS = 50;

  /**
   * Longest time without new connections. If all instances were saturated, callers would find none
   * that accepts them.
   */
  private static final long MAX_CLOSED_MS = 400;

  /** Shortest time with new connections, so that some callers get through in any case. */
  private static final long MIN_OPEN_MS = 200;

  private boolean open = true;
  private long changedMs = Long.MIN_VALUE / 2;
  private long closedCount;

  /**
   * Decides whether new connections are accepted now; called periodically.
   *
   * @param delayMs by how much everything that reaches this instance is delayed
   * @param nowMs the current time
   * @return false if connections are refused
   */
  public synchronized boolean isOpen(double delayMs, long nowMs) {
    long sinceMs = nowMs - changedMs;
    boolean change =
        open
            ? delayMs > MAX_DELAY_MS && sinceMs >= MIN_OPEN_MS
            : delayMs < LOW_DELAY_MS || sinceMs >= MAX_CLOSED_MS;
    if (change) {
      open = !open;
      changedMs = nowMs;
      closedCount += open ? 0 : 1;
    }
    return open;
  }

  /**
   * Returns how often connections were refused for a while.
   *
   * @return a count since the start
   */
  public synchronized long closedCount() {
    return closedCount;
  }
}
