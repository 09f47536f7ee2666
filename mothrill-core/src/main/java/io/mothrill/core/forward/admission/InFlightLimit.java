package io.mothrill.core.forward.admission;

/**
 * The limit on this instance's requests in flight at a service, which exists only while the service
 * is full. It may be less than one request: an instance of a large fleet has less than one slot of
 * a small service.
 */
final class InFlightLimit {

  /** The limit ends when the service was not full for this time. */
  static final long END_AFTER_MS = 2_000;

  /** Signs for a shorter time are a burst; limits that started at once refused requests for it. */
  private static final long START_AFTER_MS = 200;

  /** Small instances see a response of a service only a few times per second. */
  private static final long MAX_SIGN_GAP_MS = 300;

  /** A step of the limit; several responses of a service arrive in this time. */
  private static final long STEP_MS = 100;

  private static final double SHRINK_FACTOR = 0.9;

  /**
   * Growth for each answered request and at most for each step, as parts of the limit. One request
   * per answer would double the limit of short requests within one step, so upstreams would turn
   * requests away in nine of ten steps.
   */
  private static final double GROWTH_PER_ANSWER = 0.02;

  private static final double MAX_GROWTH_PER_STEP = 0.05;

  /** Growth while the service is not full any more; quadruples the limit within 1.5 s. */
  private static final double RECOVERY_GROWTH = 0.1;

  private static final long RECOVERY_AFTER_MS = 2 * STEP_MS;

  /**
   * The limit does not shrink below this part of its start. Below, an instance learned too late
   * that all upstreams had recovered: 8 percent of the requests were still refused 2 s later.
   */
  private static final double MIN_OF_START = 0.25;

  /** A limit beyond the requests in flight limits nothing, and would take long to shrink. */
  private static final double MAX_OF_AVERAGE = 2;

  private static final double MAX_BEYOND_AVERAGE = 1;

  private boolean exists;
  private double limit;
  private double minLimit;
  private long startedMs;
  private long firstFullMs;
  private long lastFullMs = Long.MIN_VALUE / 2;
  private long lastShrunkMs;
  private long lastRejectedMs = Long.MIN_VALUE / 2;
  private long growthStepMs;
  private double growthInStep;

  boolean exists() {
    return exists;
  }

  /** Returns the number of requests that may be in flight. */
  double value() {
    return limit;
  }

  long startedMs() {
    return startedMs;
  }

  /** Called when the service is full; if it stays so, starts the limit with those in flight. */
  void onFull(double inFlight, long nowMs) {
    if (nowMs - lastFullMs > MAX_SIGN_GAP_MS) {
      firstFullMs = nowMs;
    }
    lastFullMs = nowMs;
    if (!exists && nowMs - firstFullMs >= START_AFTER_MS) {
      exists = true;
      limit = inFlight;
      minLimit = inFlight * MIN_OF_START;
      startedMs = nowMs;
      lastShrunkMs = nowMs;
      growthStepMs = nowMs;
      growthInStep = 0;
    }
  }

  /** Called when an upstream of a full service has turned a request away. */
  void onRejected(double inFlight, long nowMs) {
    lastRejectedMs = nowMs;
    shrink(inFlight, nowMs);
  }

  /** Called when the service is too full for the requests in flight. */
  void shrink(double inFlight, long nowMs) {
    onFull(inFlight, nowMs);
    if (exists && nowMs - lastShrunkMs >= STEP_MS) {
      lastShrunkMs = nowMs;
      limit = Math.max(minLimit, limit * SHRINK_FACTOR);
    }
  }

  /**
   * Called when a request was answered while the service has free slots. More requests than the
   * limit are in flight when it did not apply for a time; they show that the limit is too low.
   *
   * @param averageInFlight the average number of requests in flight
   */
  void onAnswered(double averageInFlight, long nowMs) {
    if (!exists || nowMs - lastRejectedMs < STEP_MS) {
      return;
    }
    limit = Math.max(limit, averageInFlight);
    if (limit >= MAX_OF_AVERAGE * averageInFlight + MAX_BEYOND_AVERAGE) {
      return;
    }
    if (nowMs - growthStepMs >= STEP_MS) {
      growthStepMs = nowMs;
      growthInStep = 0;
    }
    boolean recovers = nowMs - lastFullMs >= RECOVERY_AFTER_MS;
    double perAnswer = recovers ? RECOVERY_GROWTH : GROWTH_PER_ANSWER;
    double perStep = recovers ? RECOVERY_GROWTH : MAX_GROWTH_PER_STEP;
    double growth = Math.min(1, limit * Math.min(perAnswer, perStep - growthInStep));
    if (growth > 0) {
      growthInStep += growth / limit;
      limit += growth;
    }
  }

  /** Ends the limit if the service was not full for long enough; returns true if it has ended. */
  boolean endIfFree(long nowMs) {
    if (exists && nowMs - lastFullMs >= END_AFTER_MS) {
      exists = false;
      return true;
    }
    return false;
  }
}
