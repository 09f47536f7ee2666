package io.mothrill.core.forward.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalInt;

/** What this instance has recently sent to one upstream, and what was turned away; thread-safe. */
final class RejectionBudget {

  /** A second at the upstream, and the variation of the network delay. */
  static final long WINDOW_MS = 1_150;

  private static final long MIN_RETRY_MS = 250;

  private final Deque<Long> rejectedMs = new ArrayDeque<>();
  private final Deque<Unanswered> unanswered = new ArrayDeque<>();
  private OptionalInt maxPerS = OptionalInt.empty();
  private long announcedMs = Long.MIN_VALUE / 2;
  private long answeredMs = Long.MIN_VALUE / 2;

  /**
   * What this instance may send.
   *
   * @param rejections requests that are unanswered or were turned away within a second
   * @param unanswered unanswered requests while none was turned away
   * @param inFlight requests in flight while none was turned away
   * @param inFlightCount the current number of requests in flight
   */
  record Allowance(int rejections, int unanswered, int inFlight, int inFlightCount) {}

  /** Why a request could be sent. */
  enum Basis {
    REJECTIONS,
    SPARE_PLACES,
    PLACES
  }

  /** A request without an answer. */
  private record Unanswered(long sentMs, Basis basis) {}

  synchronized OptionalInt maxPerS() {
    return maxPerS;
  }

  /** Checks whether the upstream has answered since a time. */
  synchronized boolean hasAnsweredSince(long sinceMs) {
    return answeredMs >= sinceMs;
  }

  synchronized boolean hasRoom(Allowance allowance, long nowMs) {
    return findBasis(allowance, nowMs).isPresent();
  }

  private Optional<Basis> findBasis(Allowance allowance, long nowMs) {
    removeExpired(nowMs);
    int count = unanswered.size();
    if (rejectedMs.size() + count < allowance.rejections()) {
      return Optional.of(Basis.REJECTIONS);
    }
    if (!rejectedMs.isEmpty()) {
      return Optional.empty();
    }
    if (count < allowance.unanswered()) {
      return Optional.of(Basis.SPARE_PLACES);
    }
    return Math.max(count, allowance.inFlightCount()) < allowance.inFlight()
        ? Optional.of(Basis.PLACES)
        : Optional.empty();
  }

  synchronized boolean tryAcquire(Allowance allowance, long nowMs) {
    Optional<Basis> basis = findBasis(allowance, nowMs);
    basis.ifPresent(known -> unanswered.addLast(new Unanswered(nowMs, known)));
    return basis.isPresent();
  }

  /** Returns why the answered request could be sent, unless that is too long ago. */
  synchronized Optional<Basis> onAnswer(
      long sentMs, OptionalInt announcedMaxPerS, boolean turnedAway, long nowMs) {
    removeExpired(nowMs);
    final Optional<Basis> basis = removeUnanswered(sentMs);
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
    return basis;
  }

  /** Removes the request that was written at a time, shortly after its place was acquired. */
  private Optional<Basis> removeUnanswered(long sentMs) {
    Iterator<Unanswered> newestFirst = unanswered.descendingIterator();
    while (newestFirst.hasNext()) {
      Unanswered request = newestFirst.next();
      if (request.sentMs() <= sentMs) {
        newestFirst.remove();
        return Optional.of(request.basis());
      }
    }
    return Optional.empty();
  }

  private void removeExpired(long nowMs) {
    rejectedMs.removeIf(atMs -> nowMs - atMs >= WINDOW_MS);
    unanswered.removeIf(request -> nowMs - request.sentMs() >= WINDOW_MS);
  }

  synchronized long retryAfterMs(long nowMs) {
    Long oldest = rejectedMs.peekFirst();
    return oldest == null ? MIN_RETRY_MS : Math.max(MIN_RETRY_MS, oldest + WINDOW_MS - nowMs);
  }
}
