package io.mothrill.lab.standin;

/**
 * Settings of the engine stand-in.
 *
 * @param slots the maximum number of sequences in the batch
 * @param stepMs the duration of one step of the batch; each sequence generates one token per step
 * @param prefillTokensPerStep the number of prompt tokens processed per prefill step
 * @param cachePrefixes the number of prompts in the prefix cache
 * @param loadLagMs the interval between two samples of the load that the engine reports
 */
public record EngineSettings(
    int slots, long stepMs, int prefillTokensPerStep, int cachePrefixes, long loadLagMs) {

  /**
   * Returns the settings of a small engine.
   *
   * @return settings with 16 slots and 5 ms per step
   */
  public static EngineSettings small() {
    return new EngineSettings(16, 5, 512, 64, 100);
  }
}
