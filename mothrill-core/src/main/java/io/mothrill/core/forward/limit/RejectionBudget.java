package io.mothrill.core.forward.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalInt;

/** What this instance has recently sent to one upstream, and what was turned away; thread-safe. */
final class RejectionBudget {

  /** A second at the upstream, and the variation of the network delay. */
  private static final long WINDOW_MS = 1_150;

  private static final long MIN_RETRY_MS = 250;

  private final Deque<Long> rejectedMs = new ArrayDeque<>();
  private final Deque<Long> unansweredSinceMs = new ArrayDeque<>();
  private OptionalInt maxPerS = OptionalInt.empty();
  private long announcedMs = Long.MIN_VALUE / 2;
  private long answeredMs = Long.MIN_VALUE / 2;

  /**
   * What this instance may send.
   *
   * @param rejections requests that are unanswered or were turned away within a second
   * @param unanswered unanswered requests while none was turned away
   */
  record Allowance(int rejections, int unanswered) {}

  synchronized OptionalInt maxPerS() {
    return maxPerS;
  }

  /** Checks whether the upstream has answered since a time. */
  synchronized boolean hasAnsweredSince(long sinceMs) {
    return answeredMs >= sinceMs;
  }

  synchronized boolean hasRoom(Allowance allowance, long nowMs) {
    removeExpired(nowMs);
    return rejectedMs.size() + unansweredSinceMs.size() < allowance.rejections()
        || (rejectedMs.isEmpty() && unansweredSinceMs.size() < allowance.unanswered());
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
    return oldest == null ? MIN_RETRY_MS : Math.max(MIN_RETRY_MS, oldest + WINDOW_MS - nowMs);
  }
}
