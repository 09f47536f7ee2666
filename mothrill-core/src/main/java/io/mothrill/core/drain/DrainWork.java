package io.mothrill.core.drain;

/** What an instance does in the stages of its drain. */
public interface DrainWork {

  /** Tells the platform and the peers that the instance is leaving. */
  void announce();

  /**
   * Says whether no request is under way.
   *
   * @return true when nothing would be cut off
   */
  boolean isIdle();

  /** Returns tokens, posts bills and hands over records. */
  void handOver();

  /**
   * Says whether everything was handed over.
   *
   * @return true when the process holds nothing that would be lost
   */
  boolean isHandedOver();
}
