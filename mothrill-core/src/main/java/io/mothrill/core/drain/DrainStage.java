package io.mothrill.core.drain;

/** The stages in which an instance leaves the fleet. */
public enum DrainStage {
  /** The instance serves requests. */
  SERVING,
  /**
   * The instance has announced that it is leaving. It still accepts requests until the load
   * balancer has noticed.
   */
  ANNOUNCED,
  /** New requests are refused as not run; requests in flight continue. */
  FINISHING,
  /** The instance returns its tokens, posts its bills and hands over its records. */
  HANDING_OVER,
  /** The process may exit. */
  DONE;

  /**
   * Checks whether new requests are refused.
   *
   * @return true once the load balancer has had time to notice
   */
  public boolean refusesNew() {
    return compareTo(FINISHING) >= 0;
  }
}
