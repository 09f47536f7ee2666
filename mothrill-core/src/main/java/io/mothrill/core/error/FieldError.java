package io.mothrill.core.error;

/**
 * An invalid input field and the reason why its value was rejected.
 *
 * <pre>{@code
 * FieldError.outOfRange("spec.slots", 1, 10_000, 0).toString(); // spec.slots: must be from 1 ...
 * }</pre>
 *
 * @param path the field's path, such as {@code spec.topUps[2].tokens}
 * @param reason why the value was rejected
 */
public record FieldError(String path, String reason) {

  /**
   * Creates the error for a missing required field.
   *
   * @param path the field's path
   * @return the error
   */
  public static FieldError missing(String path) {
    return new FieldError(path, "is required");
  }

  /**
   * Creates the error for an unknown field.
   *
   * @param path the field's path
   * @return the error
   */
  public static FieldError unknown(String path) {
    return new FieldError(path, "is not a known field");
  }

  /**
   * Creates the error for a value of the wrong type.
   *
   * @param path the field's path
   * @param expected the expected type, such as {@code a whole number}
   * @return the error
   */
  public static FieldError wrongType(String path, String expected) {
    return new FieldError(path, "must be " + expected);
  }

  /**
   * Creates the error for a number that is too small or too large.
   *
   * @param path the field's path
   * @param min the smallest allowed value
   * @param max the largest allowed value
   * @param actual the actual value
   * @return the error
   */
  public static FieldError outOfRange(String path, long min, long max, long actual) {
    return new FieldError(path, "must be from " + min + " to " + max + ", but was " + actual);
  }

  /**
   * Creates the error for a value that is rejected for another reason.
   *
   * @param path the field's path
   * @param reason the reason, phrased to follow the path
   * @return the error
   */
  public static FieldError refused(String path, String reason) {
    return new FieldError(path, reason);
  }

  @Override
  public String toString() {
    return path + ": " + reason;
  }
}
