package io.mothrill.core.request;

import java.util.concurrent.Executor;

/** The way back to the caller. */
public interface CallerStream extends Executor {

  /**
   * Tells under which ids the request goes on; called once, before anything else.
   *
   * @param requestId the run's id
   * @param key the key under which the caller may ask again
   */
  void identify(String requestId, String key);

  /**
   * Begins the answer.
   *
   * @param status the HTTP status
   * @param contentType the media type of the body
   */
  void head(int status, String contentType);

  /**
   * Sends a part of the answer.
   *
   * @param bytes the part; not to be changed
   */
  void chunk(byte[] bytes);

  /** Ends the answer: the caller has it whole. */
  void end();

  /** Breaks the answer off so that the caller sees that it is not whole. */
  void abort();

  /**
   * Answers a request that is not served; only before {@link #head}.
   *
   * @param refusal what to say
   */
  void refuse(Refusal refusal);
}
