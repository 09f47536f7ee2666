package io.mothrill.core.request;

import java.util.concurrent.CompletableFuture;

/** Makes sure that a request which may not be repeated is sent at most once. */
public interface UnrepeatableClaims {

  /** How a claim was answered. */
  enum Outcome {
    /** This run alone may send the request. */
    GRANTED,
    /** The key was claimed before; the request may have run. */
    TAKEN,
    /** The claim could not be recorded; the request must not be sent. */
    UNSAFE
  }

  /**
   * Claims a request before it is sent.
   *
   * @param key the request key
   * @param requestId the run's id
   * @return the outcome; never fails
   */
  CompletableFuture<Outcome> claim(RequestKey key, String requestId);

  /**
   * Gives up the claim of a run that surely did not send the request.
   *
   * @param key the request key
   * @param requestId the run's id
   */
  void release(RequestKey key, String requestId);
}
