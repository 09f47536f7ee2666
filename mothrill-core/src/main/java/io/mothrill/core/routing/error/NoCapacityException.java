package io.mothrill.core.routing.error;

/** A call got no upstream; it was not sent anywhere. */
public final class NoCapacityException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long retryAfterMs;

  private NoCapacityException(String message, long retryAfterMs) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * No upstream of the service may get new calls.
   *
   * @param service the service's name
   * @param retryAfterMs when to try again
   * @return the error
   */
  public static NoCapacityException noUpstream(String service, long retryAfterMs) {
    return new NoCapacityException("no upstream of " + service + " takes calls", retryAfterMs);
  }

  /**
   * The queue is longer than the call can wait.
   *
   * @param service the service's name
   * @param retryAfterMs when the queue should be shorter
   * @return the error
   */
  public static NoCapacityException overloaded(String service, long retryAfterMs) {
    return new NoCapacityException("the queue of " + service + " is too long", retryAfterMs);
  }

  /**
   * Says when to try again.
   *
   * @return milliseconds from now
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
