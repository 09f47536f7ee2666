package io.mothrill.core.forward.crash;

/**
 * How a request takes part in trials.
 *
 * @param isRepeatable whether it may run more than once; its caller then loses nothing if the
 *     upstream of a trial crashes
 * @param maxWaitMs the longest time that it waits for the outcome of another trial
 */
public record TrialTerms(boolean isRepeatable, long maxWaitMs) {

  /** The longest time that any request waits. Most trials are answered in less. */
  private static final long MAX_WAIT_MS = 1_000;

  /** A request that may be repeated and has no objective for its latency. */
  public static final TrialTerms DEFAULT = new TrialTerms(true, MAX_WAIT_MS);

  /**
   * Creates the terms of a request.
   *
   * @param isRepeatable whether it may run more than once
   * @param targetLatencyMs the objective for its latency
   * @return the terms
   */
  public static TrialTerms of(boolean isRepeatable, long targetLatencyMs) {
    return new TrialTerms(isRepeatable, Math.min(MAX_WAIT_MS, targetLatencyMs));
  }
}
