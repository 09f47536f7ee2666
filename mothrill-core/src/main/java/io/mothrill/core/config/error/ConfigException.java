package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;
import io.mothrill.core.resource.Resource;
import java.util.Optional;

/** A change of configuration was not accepted, or it is not known whether it was. */
public final class ConfigException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient ErrorMessage message;
  private final transient Optional<Resource> current;

  /**
   * Creates the error.
   *
   * @param message what went wrong
   */
  public ConfigException(ErrorMessage message) {
    this(message, Optional.empty());
  }

  /**
   * Creates the error.
   *
   * @param message what went wrong
   * @param current the resource as it stands, for the operator to compare
   */
  public ConfigException(ErrorMessage message, Optional<Resource> current) {
    super(message.text());
    this.message = message;
    this.current = current;
  }

  /**
   * Gives the code that programs may rely on.
   *
   * @return the code
   */
  public String code() {
    return message.code();
  }

  /**
   * Gives the resource that a change collided with.
   *
   * @return the resource as it stands
   */
  public Optional<Resource> current() {
    return current;
  }
}
