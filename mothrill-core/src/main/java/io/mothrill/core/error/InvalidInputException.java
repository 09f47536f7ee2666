package io.mothrill.core.error;

import java.util.List;
import java.util.stream.Collectors;

/** An input was refused as a whole; every wrong field is named. */
public final class InvalidInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<FieldError> errors;

  /**
   * Creates the error.
   *
   * @param errors the wrong fields, at least one
   */
  public InvalidInputException(List<FieldError> errors) {
    super(errors.stream().map(FieldError::toString).collect(Collectors.joining("; ")));
    this.errors = List.copyOf(errors);
  }

  /**
   * Refuses an input for one field.
   *
   * @param error the wrong field
   * @return the error
   */
  public static InvalidInputException of(FieldError error) {
    return new InvalidInputException(List.of(error));
  }

  /**
   * Lists the wrong fields.
   *
   * @return at least one error
   */
  public List<FieldError> errors() {
    return errors;
  }
}
