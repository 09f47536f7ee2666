package io.mothrill.core.upstream;

/** Sends calls to upstreams. */
public interface UpstreamClient {

  /**
   * Sends a call.
   *
   * @param call the call
   * @param listener gets the answer, piece by piece and in order
   * @return the call under way
   */
  UpstreamExchange send(UpstreamCall call, UpstreamListener listener);
}
