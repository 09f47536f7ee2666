package io.mothrill.core.error;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when an input is rejected as a whole; it lists every invalid field. */
public final class InvalidInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<FieldError> errors;

  /**
   * Creates the exception.
   *
   * @param errors the invalid fields, at least one
   */
  public InvalidInputException(List<FieldError> errors) {
    super(errors.stream().map(FieldError::toString).collect(Collectors.joining("; ")));
    this.errors = List.copyOf(errors);
  }

  /**
   * Creates the exception for a single field.
   *
   * @param error the invalid field
   * @return the exception
   */
  public static InvalidInputException of(FieldError error) {
    return new InvalidInputException(List.of(error));
  }

  /**
   * Returns the invalid fields.
   *
   * @return at least one error
   */
  public List<FieldError> errors() {
    return errors;
  }
}
