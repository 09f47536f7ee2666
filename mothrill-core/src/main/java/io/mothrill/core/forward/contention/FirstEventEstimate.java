package io.mothrill.core.forward.contention;

/** Estimates when an idle upstream sends the first event of a stream. */
@FunctionalInterface
public interface FirstEventEstimate {

  /**
   * Estimates the time from sending a prompt to its first event.
   *
   * @param service the service
   * @param uncachedTokens the number of tokens to prefill
   * @return milliseconds
   */
  double firstEventMs(String service, double uncachedTokens);
}
