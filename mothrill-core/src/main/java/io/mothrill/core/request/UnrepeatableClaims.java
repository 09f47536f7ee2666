package io.mothrill.core.request;

import java.util.concurrent.CompletableFuture;

/** Ensures that an unrepeatable request is sent at most once. */
public interface UnrepeatableClaims {

  /** The outcome of a claim. */
  enum Outcome {
    /** Only this run may send the request. */
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
   * @param requestId the id of the run
   * @return the outcome; never fails
   */
  CompletableFuture<Outcome> claim(RequestKey key, String requestId);

  /**
   * Releases the claim of a run that certainly did not send the request.
   *
   * @param key the request key
   * @param requestId the id of the run
   */
  void release(RequestKey key, String requestId);
}
