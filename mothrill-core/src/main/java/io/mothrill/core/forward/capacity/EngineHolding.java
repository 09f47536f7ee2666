package io.mothrill.core.forward.capacity;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The tokens that one engine is asked to hold as known to this instance; thread-safe. */
final class EngineHolding {

  /**
   * How many observations the average of the whole service counts for in the average of one engine,
   * so that a single long prompt does not make all other requests there appear long.
   */
  private static final double SERVICE_WEIGHT = 8;

  private final PriorityQueue<Announced> announced =
      new PriorityQueue<>(Comparator.comparingLong(Announced::expiresMs));
  private DecayingMean ownMean = DecayingMean.EMPTY;
  private Unannounced unannounced = new Unannounced(0, 0, 1);
  private long announcedTokens;
  private long ownTokens;
  private int ownCount;

  /** A request that another instance has announced by a notice. */
  private record Announced(long tokens, long expiresMs) {}

  /**
   * The requests in a load report that are neither own nor announced. They have been running for
   * different times, so on average they end evenly over the time of one response.
   */
  private record Unannounced(double tokens, long reportedMs, long responseMs) {

    double remainingAt(long nowMs) {
      return tokens * Math.max(0, 1 - (nowMs - reportedMs) / (double) responseMs);
    }
  }

  /** Adds an own request and returns the tokens that are known to be there with it. */
  synchronized long onSent(long maxTokens, long nowMs) {
    ownTokens += maxTokens;
    ownCount++;
    ownMean = ownMean.plus(maxTokens, 1);
    return tokens(nowMs);
  }

  synchronized void onEnded(long maxTokens) {
    ownTokens -= maxTokens;
    ownCount--;
  }

  synchronized void onNotice(long tokens, RequestAverages service, long nowMs) {
    long responseMs = service.responseMs(tokens(nowMs) + tokens);
    announced.add(new Announced(tokens, nowMs + responseMs));
    announcedTokens += tokens;
  }

  synchronized void onReport(int count, RequestAverages service, long nowMs) {
    expire(nowMs);
    int unannouncedCount = Math.max(0, count - ownCount - announced.size());
    double tokensPerRequest = ownMean.meanWith(service.tokens(), SERVICE_WEIGHT);
    double unannouncedTokens = unannouncedCount * tokensPerRequest;
    long responseMs =
        service.responseMs(ownTokens + announcedTokens + Math.round(unannouncedTokens));
    unannounced = new Unannounced(unannouncedTokens, nowMs, responseMs);
  }

  synchronized long ownTokens() {
    return ownTokens;
  }

  synchronized long othersTokens(long nowMs) {
    expire(nowMs);
    return announcedTokens + (long) Math.ceil(unannounced.remainingAt(nowMs));
  }

  /** Returns all known tokens in one step, so that a request is not counted twice or missed. */
  synchronized long tokens(long nowMs) {
    return ownTokens + othersTokens(nowMs);
  }

  synchronized boolean hasOwn() {
    return ownCount > 0;
  }

  private void expire(long nowMs) {
    while (!announced.isEmpty() && announced.peek().expiresMs() <= nowMs) {
      announcedTokens -= announced.poll().tokens();
    }
  }
}
