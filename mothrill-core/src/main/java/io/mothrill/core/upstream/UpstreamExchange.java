package io.mothrill.core.upstream;

/** A call in progress at an upstream. */
public interface UpstreamExchange {

  /** Aborts the call; its connection is closed and the listener is not called again. */
  void cancel();

  /**
   * Pauses or resumes reading the response, so that a slow caller does not exhaust memory.
   *
   * @param reading false to pause
   */
  void setReading(boolean reading);
}
