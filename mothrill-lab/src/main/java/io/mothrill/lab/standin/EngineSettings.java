package io.mothrill.lab.standin;

/**
 * How the engine stand-in works.
 *
 * @param slots how many sequences it batches
 * @param stepMs how long one step of the batch takes; each sequence gets one token a step
 * @param prefillTokensPerStep how many prompt tokens are read in one step
 * @param cachePrefixes how many prompts' prefixes it remembers
 * @param loadLagMs how old the load is that it reports
 */
public record EngineSettings(
    int slots, long stepMs, int prefillTokensPerStep, int cachePrefixes, long loadLagMs) {

  /**
   * Gives settings for a small engine.
   *
   * @return sixteen slots and five milliseconds a step
   */
  public static EngineSettings small() {
    return new EngineSettings(16, 5, 512, 64, 100);
  }
}
