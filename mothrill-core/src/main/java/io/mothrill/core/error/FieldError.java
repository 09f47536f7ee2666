package io.mothrill.core.error;

/**
 * Names one field of an input and why its value was refused.
 *
 * <pre>{@code
 * FieldError.outOfRange("spec.slots", 1, 10_000, 0).toString(); // spec.slots: must be from 1 ...
 * }</pre>
 *
 * @param path the field's path, such as {@code spec.topUps[2].tokens}
 * @param reason why the value was refused
 */
public record FieldError(String path, String reason) {

  /**
   * A required field is not there.
   *
   * @param path the field's path
   * @return the error
   */
  public static FieldError missing(String path) {
    return new FieldError(path, "is required");
  }

  /**
   * A field is not known.
   *
   * @param path the field's path
   * @return the error
   */
  public static FieldError unknown(String path) {
    return new FieldError(path, "is not a known field");
  }

  /**
   * A field has a value of another type.
   *
   * @param path the field's path
   * @param expected the type that was expected, such as {@code a whole number}
   * @return the error
   */
  public static FieldError wrongType(String path, String expected) {
    return new FieldError(path, "must be " + expected);
  }

  /**
   * A number is too small or too large.
   *
   * @param path the field's path
   * @param min the least number allowed
   * @param max the greatest number allowed
   * @param actual the number given
   * @return the error
   */
  public static FieldError outOfRange(String path, long min, long max, long actual) {
    return new FieldError(path, "must be from " + min + " to " + max + ", but was " + actual);
  }

  /**
   * A value is refused for another reason.
   *
   * @param path the field's path
   * @param reason the reason, to be read after the path
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
