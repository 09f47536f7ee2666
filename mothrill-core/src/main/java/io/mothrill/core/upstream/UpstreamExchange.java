package io.mothrill.core.upstream;

/** A call that is under way at an upstream. */
public interface UpstreamExchange {

  /** Gives the call up; its connection is closed and nothing more is reported. */
  void cancel();

  /**
   * Stops or continues reading the answer, so that a slow caller does not fill the memory.
   *
   * @param reading false to stop
   */
  void setReading(boolean reading);
}
