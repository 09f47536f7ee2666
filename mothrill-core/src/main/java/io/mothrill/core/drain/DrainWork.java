package io.mothrill.core.drain;

/** The work that an instance does in the stages of its drain. */
public interface DrainWork {

  /** Announces to the platform and the peers that the instance is leaving. */
  void announce();

  /**
   * Checks whether no request is in flight.
   *
   * @return true when no request would be interrupted
   */
  boolean isIdle();

  /** Returns tokens, posts bills and hands over records. */
  void handOver();

  /**
   * Checks whether the hand-over is complete.
   *
   * @return true when the process holds nothing that would be lost
   */
  boolean isHandedOver();
}
