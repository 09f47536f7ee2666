package io.mothrill.core.upstream;

import io.mothrill.core.routing.LoadReport;

/** Gets the answer to one call; after an end or a failure nothing more comes. */
public interface UpstreamListener {

  /**
   * The answer begins.
   *
   * @param status the HTTP status
   * @param contentType the media type of the body
   */
  void onHead(int status, String contentType);

  /**
   * A part of the answer came.
   *
   * @param bytes the part; not to be changed
   * @param usage what the whole answer has used so far, as far as the upstream tells
   */
  void onChunk(byte[] bytes, Usage usage);

  /** The answer is whole. */
  void onEnd();

  /**
   * The answer will not come, or will not become whole.
   *
   * @param failure what is known about it
   */
  void onFailure(UpstreamFailure failure);

  /**
   * The upstream told its load beside an answer.
   *
   * @param report the load
   */
  void onLoad(LoadReport report);

  /** The upstream said beside an answer that it must get nothing new. */
  void onLeaving();
}
