package io.mothrill.core.forward.lease;

import io.mothrill.core.forward.lease.LeaseMessage.State;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/** The leases that this instance has granted at one upstream; thread-safe. */
final class LeaseLedger {

  /** A second at the upstream, and the variation of the network delay. */
  private static final long REJECTION_WINDOW_MS = 1_150;

  /** For this time a reported number of requests tells whether the upstream has room. */
  private static final long REPORT_RETENTION_MS = 1_000;

  /** Maximum delay of a request for a lease that was denied or has ended meanwhile. */
  private static final long ENDED_RETENTION_MS = 2_000;

  /** Upstreams abort a request within this time after its deadline. */
  private static final long EXPIRY_MARGIN_MS = 1_000;

  private final RegisteredUpstream upstream;
  private final Map<LeaseKey, Long> expiryMs = new HashMap<>();

  /** Leases that were denied or have ended, the oldest first. */
  private final Map<LeaseKey, Long> endedMs = new LinkedHashMap<>();

  private final Deque<Long> rejectedMs = new ArrayDeque<>();
  private long reportedMs = Long.MIN_VALUE / 2;
  private int foreignCount;
  private long foreignMs = Long.MIN_VALUE / 2;

  /**
   * Identifies a lease.
   *
   * @param holder the instance that holds it
   * @param id the id that it has chosen
   */
  record LeaseKey(String holder, long id) {}

  LeaseLedger(RegisteredUpstream upstream) {
    this.upstream = upstream;
  }

  RegisteredUpstream upstream() {
    return upstream;
  }

  /**
   * Grants a lease if the upstream bears one more request, or again if the reply was lost.
   *
   * <p>A request that is turned away keeps its place for a second. So at most as many requests are
   * turned away in a second as the share exceeds the places of the upstream.
   */
  synchronized boolean tryGrant(LeaseKey key, LeaseShare share, long validMs, long nowMs) {
    removeExpired(nowMs);
    if (expiryMs.containsKey(key)) {
      return true;
    }
    if (endedMs.containsKey(key)) {
      return false;
    }
    boolean isReported = nowMs - reportedMs <= REPORT_RETENTION_MS;
    int requests = expiryMs.size() + rejectedMs.size();
    int foreign = nowMs - foreignMs <= REPORT_RETENTION_MS ? foreignCount : 0;
    boolean hasRoom =
        isReported
            ? requests + foreign < share.requests()
                || expiryMs.size() + foreign < upstream.slots() && requests < share.rejections()
            : requests < share.rejections();
    if (hasRoom) {
      expiryMs.put(key, nowMs + validMs + EXPIRY_MARGIN_MS);
    } else {
      rememberEnded(key, nowMs);
    }
    return hasRoom;
  }

  /**
   * Called when the state of a request that holds a lease has changed; may be called repeatedly.
   */
  synchronized void onUpdate(LeaseKey key, State state, OptionalInt requestCount, long nowMs) {
    requestCount.ifPresent(count -> onReport(count, nowMs));
    if (state == State.ANSWERING) {
      return;
    }
    rememberEnded(key, nowMs);
    boolean wasHeld = expiryMs.remove(key) != null;
    if (wasHeld && state == State.TURNED_AWAY) {
      rejectedMs.addLast(nowMs);
    }
  }

  /** A request for the same lease that was sent again, and arrives later, is denied. */
  private void rememberEnded(LeaseKey key, long nowMs) {
    endedMs.remove(key);
    endedMs.put(key, nowMs);
  }

  /** Estimates how many requests at the upstream hold no lease of this instance. */
  private void onReport(int requestCount, long nowMs) {
    int foreign = Math.max(0, requestCount - expiryMs.size());
    if (foreign >= foreignCount || nowMs - foreignMs > REPORT_RETENTION_MS) {
      foreignCount = foreign;
      foreignMs = nowMs;
    }
    reportedMs = nowMs;
  }

  private void removeExpired(long nowMs) {
    rejectedMs.removeIf(atMs -> nowMs - atMs >= REJECTION_WINDOW_MS);
    expiryMs.values().removeIf(atMs -> atMs <= nowMs);
    Iterator<Long> oldestFirst = endedMs.values().iterator();
    while (oldestFirst.hasNext() && nowMs - oldestFirst.next() >= ENDED_RETENTION_MS) {
      oldestFirst.remove();
    }
  }

  synchronized int heldCount(long nowMs) {
    removeExpired(nowMs);
    return expiryMs.size();
  }
}
