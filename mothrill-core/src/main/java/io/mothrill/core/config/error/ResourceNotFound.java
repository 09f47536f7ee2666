package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;

/** The requested resource does not exist. */
public record ResourceNotFound(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param kind the requested kind
   * @param name the requested name
   * @return the message
   */
  public static ResourceNotFound resourceNotFound(String kind, String name) {
    return new ResourceNotFound("there is no " + kind + " named " + name);
  }

  @Override
  public String code() {
    return "not_found";
  }
}
