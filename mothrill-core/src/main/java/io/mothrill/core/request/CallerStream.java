package io.mothrill.core.request;

import java.util.concurrent.Executor;

/** The stream on which a request is answered to its caller. */
public interface CallerStream extends Executor {

  /**
   * Sets the ids of the request. Called once, before any other method.
   *
   * @param requestId the id of the run
   * @param key the key with which the caller may retry
   */
  void identify(String requestId, String key);

  /**
   * Starts the answer.
   *
   * @param status the HTTP status
   * @param contentType the media type of the body
   */
  void head(int status, String contentType);

  /**
   * Sends a chunk of the answer.
   *
   * @param bytes the chunk; must not be modified
   */
  void chunk(byte[] bytes);

  /** Ends the answer, which is then complete. */
  void end();

  /** Aborts the answer so that the caller notices that it is incomplete. */
  void abort();

  /**
   * Answers the request with a refusal. Must be called before {@link #head}.
   *
   * @param refusal the refusal
   */
  void refuse(Refusal refusal);
}
