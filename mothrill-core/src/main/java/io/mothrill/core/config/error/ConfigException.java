package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;
import io.mothrill.core.resource.Resource;
import java.util.Optional;

/** Thrown when a configuration change was not accepted, or when it is unknown whether it was. */
public final class ConfigException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient ErrorMessage message;
  private final transient Optional<Resource> current;

  /**
   * Creates the exception.
   *
   * @param message what went wrong
   */
  public ConfigException(ErrorMessage message) {
    this(message, Optional.empty());
  }

  /**
   * Creates the exception.
   *
   * @param message what went wrong
   * @param current the current resource, for the operator to compare
   */
  public ConfigException(ErrorMessage message, Optional<Resource> current) {
    super(message.text());
    this.message = message;
    this.current = current;
  }

  /**
   * Returns the stable error code.
   *
   * @return the code
   */
  public String code() {
    return message.code();
  }

  /**
   * Returns the resource that the change conflicted with.
   *
   * @return the current resource
   */
  public Optional<Resource> current() {
    return current;
  }
}
