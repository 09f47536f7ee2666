package io.mothrill.core.platform.error;

/**
 * Thrown when a call to the platform failed; {@link #outcome()} tells whether it may have taken
 * effect.
 */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;

  private PlatformException(String message, Outcome outcome) {
    super(message);
    this.outcome = outcome;
  }

  /** The effect of a failed call, as far as it is known. */
  public enum Outcome {
    /** The call had no effect. */
    NOT_APPLIED,
    /** The response was lost: the call may have taken effect, or may still do so. */
    UNKNOWN
  }

  /**
   * Creates the exception for an unreachable platform; the call had no effect.
   *
   * @param detail the failed call, for the log
   * @return the exception
   */
  public static PlatformException unreachable(String detail) {
    return new PlatformException("platform not reachable: " + detail, Outcome.NOT_APPLIED);
  }

  /**
   * Creates the exception for a call that was sent but got no response.
   *
   * @param detail the failed call, for the log
   * @return the exception
   */
  public static PlatformException responseLost(String detail) {
    return new PlatformException("no answer from the platform: " + detail, Outcome.UNKNOWN);
  }

  /**
   * Returns what is known about the effect of the call.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return outcome;
  }
}
