package io.mothrill.core.routing.error;

/** Thrown when a call could not be assigned to an upstream. The call was not sent. */
public final class NoCapacityException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final long retryAfterMs;

  private NoCapacityException(String message, long retryAfterMs) {
    super(message);
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * Creates the error for a service that has no upstream which accepts new calls.
   *
   * @param service the service's name
   * @param retryAfterMs the time until a retry can succeed, in milliseconds
   * @return the error
   */
  public static NoCapacityException noUpstream(String service, long retryAfterMs) {
    return new NoCapacityException("no upstream of " + service + " takes calls", retryAfterMs);
  }

  /**
   * Creates the error for a queue that is longer than the call may wait.
   *
   * @param service the service's name
   * @param retryAfterMs the time until the queue is expected to be shorter, in milliseconds
   * @return the error
   */
  public static NoCapacityException overloaded(String service, long retryAfterMs) {
    return new NoCapacityException("the queue of " + service + " is too long", retryAfterMs);
  }

  /**
   * Returns the time until a retry can succeed.
   *
   * @return milliseconds from now
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
