package io.mothrill.core.drain;

/** How far an instance has come on its way out. */
public enum DrainStage {
  /** Serves. */
  SERVING,
  /** Has announced that it leaves; still takes what the balancer sends until it has noticed. */
  ANNOUNCED,
  /** Refuses new requests as not run; those under way go on. */
  FINISHING,
  /** Returns its tokens, posts its bills and hands over its records. */
  HANDING_OVER,
  /** May exit. */
  DONE;

  /**
   * Says whether new requests are refused.
   *
   * @return true once the balancer had time to notice
   */
  public boolean refusesNew() {
    return compareTo(FINISHING) >= 0;
  }
}
