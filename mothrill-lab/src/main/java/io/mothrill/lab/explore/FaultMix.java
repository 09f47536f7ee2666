package io.mothrill.lab.explore;

/** Which faults an exploration uses. */
public enum FaultMix {
  /** Cuts, pauses, outages and engine failures; no instance dies. */
  WITHOUT_DEATHS,
  /** All of these, and instances that die and are replaced. */
  WITH_DEATHS
}
