package io.mothrill.core.upstream;

import io.mothrill.core.routing.LoadReport;

/** Receives the response to one call; nothing follows {@link #onEnd()} or {@link #onFailure}. */
public interface UpstreamListener {

  /**
   * Called when the response starts.
   *
   * @param status the HTTP status
   * @param contentType the media type of the body
   */
  void onHead(int status, String contentType);

  /**
   * Called for each part of the response body.
   *
   * @param bytes the part; must not be modified
   * @param usage the usage of the response so far, as reported by the upstream
   */
  void onChunk(byte[] bytes, Usage usage);

  /** Called when the response is complete. */
  void onEnd();

  /**
   * Called when the response is missing or incomplete.
   *
   * @param failure the failure
   */
  void onFailure(UpstreamFailure failure);

  /**
   * Called when the upstream reports its load with a response.
   *
   * @param report the load
   */
  void onLoad(LoadReport report);

  /** Called when the upstream states with a response that it must get no new requests. */
  void onLeaving();
}
