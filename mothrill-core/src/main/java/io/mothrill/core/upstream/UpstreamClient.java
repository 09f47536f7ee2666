package io.mothrill.core.upstream;

/** Sends calls to upstreams. */
public interface UpstreamClient {

  /**
   * Sends a call.
   *
   * @param call the call
   * @param listener receives the response incrementally and in order
   * @return the call in progress
   */
  UpstreamExchange send(UpstreamCall call, UpstreamListener listener);
}
