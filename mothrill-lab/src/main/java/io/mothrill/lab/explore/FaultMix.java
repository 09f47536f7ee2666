package io.mothrill.lab.explore;

/** The kinds of faults that an exploration injects. */
public enum FaultMix {
  /**
   * Partitions, suspended processes, platform outages and engine failures, but no crashes of
   * instances.
   */
  WITHOUT_DEATHS,
  /** All of these, and crashes of instances, which are then replaced. */
  WITH_DEATHS
}
