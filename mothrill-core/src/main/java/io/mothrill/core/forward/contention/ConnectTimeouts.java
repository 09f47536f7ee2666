package io.mothrill.core.forward.contention;

import io.mothrill.core.forward.load.LoadFeatures;

/** Determines how long a request waits for a connection to an upstream. */
public final class ConnectTimeouts {

  /**
   * Longer than any round trip between failure domains, but short enough to detect a dead upstream
   * soon.
   */
  public static final int MAX_MS = 500;

  /** Several times the round trip between failure domains while links are busy. */
  private static final int MIN_MS = 60;

  /** A request that needs two connections can still be on time. */
  private static final double TARGET_SHARE = 0.5;

  /** More doublings than it takes from the minimum to the maximum. */
  private static final int MAX_DOUBLINGS = 4;

  private final LoadFeatures features;

  /**
   * Creates the timeouts.
   *
   * @param features determines where decisions under load are active
   */
  public ConnectTimeouts(LoadFeatures features) {
    this.features = features;
  }

  /**
   * Returns the connect timeout of an attempt.
   *
   * <p>A lost SYN is retransmitted only after 1 s, so waiting for longer than a part of the target
   * latency gains nothing. The timeout doubles with each failed attempt: if a busy link delays all
   * connections, a request must not run out of upstreams within a fraction of its time.
   *
   * @param service the service of the upstream
   * @param targetLatencyMs the target latency of the request
   * @param failedAttempts the number of earlier attempts that failed
   * @return milliseconds
   */
  public int timeoutMs(String service, long targetLatencyMs, int failedAttempts) {
    if (!features.isActive(service)) {
      return MAX_MS;
    }
    double firstMs = Math.max(MIN_MS, TARGET_SHARE * targetLatencyMs);
    return (int) Math.min(MAX_MS, firstMs * (1 << Math.min(MAX_DOUBLINGS, failedAttempts)));
  }
}
