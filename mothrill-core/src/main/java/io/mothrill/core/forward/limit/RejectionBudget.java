package io.mothrill.core.forward.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalInt;

/** What this instance has recently sent to one upstream, and what was turned away; thread-safe. */
final class RejectionBudget {

  /** A second at the upstream, and the variation of the network delay. */
  static final long WINDOW_MS = 1_150;

  /**
   * Time without a known rejection after which single requests are sent again. A full upstream
   * turns requests of instances with a share of the rejections away more often than that.
   */
  private static final long MAX_CLOSED_MS = 5_000;

  private static final long MIN_RETRY_MS = 250;

  private final Deque<Long> rejectedMs = new ArrayDeque<>();
  private final Deque<Long> unansweredSinceMs = new ArrayDeque<>();
  private OptionalInt maxPerS = OptionalInt.empty();
  private long announcedMs = Long.MIN_VALUE / 2;
  private long answeredMs = Long.MIN_VALUE / 2;
  private long turnedAwayMs = Long.MIN_VALUE / 2;
  private long closedUntilMs = Long.MIN_VALUE / 2;

  /**
   * What this instance may send.
   *
   * @param rejections requests that are unanswered or were turned away within a second
   * @param unanswered unanswered requests while none was turned away
   * @param inFlight requests in flight while none was turned away
   * @param inFlightCount the current number of requests in flight
   */
  record Allowance(int rejections, int unanswered, int inFlight, int inFlightCount) {}

  synchronized OptionalInt maxPerS() {
    return maxPerS;
  }

  /** Checks whether the upstream has answered since a time. */
  synchronized boolean hasAnsweredSince(long sinceMs) {
    return answeredMs >= sinceMs;
  }

  synchronized boolean hasRoom(Allowance allowance, long nowMs) {
    removeExpired(nowMs);
    int unanswered = unansweredSinceMs.size();
    return rejectedMs.size() + unanswered < allowance.rejections()
        || (rejectedMs.isEmpty()
            && (unanswered < allowance.unanswered()
                || Math.max(unanswered, allowance.inFlightCount()) < allowance.inFlight()
                || (unanswered == 0 && !isClosed(nowMs))));
  }

  /** Checks whether single requests may not be sent because others were turned away. */
  private boolean isClosed(long nowMs) {
    return nowMs < closedUntilMs && nowMs - turnedAwayMs < MAX_CLOSED_MS;
  }

  /**
   * Called when the upstream has turned a request away, here or at another instance.
   *
   * @param durationMs the time in which this instance sends no single requests to find out whether
   *     the upstream has room, unless none is turned away for a while
   * @param nowMs the current time
   */
  synchronized void close(long durationMs, long nowMs) {
    turnedAwayMs = nowMs;
    closedUntilMs = nowMs + durationMs;
  }

  synchronized boolean tryAcquire(Allowance allowance, long nowMs) {
    if (!hasRoom(allowance, nowMs)) {
      return false;
    }
    unansweredSinceMs.addLast(nowMs);
    return true;
  }

  synchronized void onAnswer(
      long sentMs, OptionalInt announcedMaxPerS, boolean turnedAway, long nowMs) {
    removeExpired(nowMs);
    removeUnanswered(sentMs);
    answeredMs = nowMs;
    if (turnedAway) {
      rejectedMs.addLast(nowMs);
    }
    if (announcedMaxPerS.isPresent()) {
      announcedMs = nowMs;
    }
    if (sentMs > announcedMs || announcedMaxPerS.isPresent()) {
      maxPerS = announcedMaxPerS;
    }
  }

  /** Removes the request that was written at a time, shortly after its place was acquired. */
  private void removeUnanswered(long sentMs) {
    Iterator<Long> newestFirst = unansweredSinceMs.descendingIterator();
    while (newestFirst.hasNext()) {
      if (newestFirst.next() <= sentMs) {
        newestFirst.remove();
        return;
      }
    }
  }

  private void removeExpired(long nowMs) {
    removeExpired(rejectedMs, nowMs);
    removeExpired(unansweredSinceMs, nowMs);
  }

  private static void removeExpired(Deque<Long> timesMs, long nowMs) {
    while (!timesMs.isEmpty() && nowMs - timesMs.peekFirst() >= WINDOW_MS) {
      timesMs.pollFirst();
    }
  }

  synchronized long retryAfterMs(long nowMs) {
    Long oldest = rejectedMs.peekFirst();
    long untilMs = oldest == null ? Math.min(closedUntilMs, nowMs + WINDOW_MS) : oldest + WINDOW_MS;
    return Math.max(MIN_RETRY_MS, untilMs - nowMs);
  }
}
