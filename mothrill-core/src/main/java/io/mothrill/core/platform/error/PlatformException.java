package io.mothrill.core.platform.error;

/** A call to the platform failed; whether its effect took place is said by {@link #outcome()}. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;

  private PlatformException(String message, Outcome outcome) {
    super(message);
    this.outcome = outcome;
  }

  /** What is known about the effect of a failed call. */
  public enum Outcome {
    /** The call had no effect. */
    NOT_APPLIED,
    /** The answer was lost: the effect may have taken place, or may still do so. */
    UNKNOWN
  }

  /**
   * The platform could not be reached, so the call surely had no effect.
   *
   * @param detail what was being called, for the log
   * @return the error
   */
  public static PlatformException unreachable(String detail) {
    return new PlatformException("platform not reachable: " + detail, Outcome.NOT_APPLIED);
  }

  /**
   * The call was sent, but no answer came.
   *
   * @param detail what was being called, for the log
   * @return the error
   */
  public static PlatformException answerLost(String detail) {
    return new PlatformException("no answer from the platform: " + detail, Outcome.UNKNOWN);
  }

  /**
   * Says whether the effect may have taken place.
   *
   * @return what is known about the effect
   */
  public Outcome outcome() {
    return outcome;
  }
}
