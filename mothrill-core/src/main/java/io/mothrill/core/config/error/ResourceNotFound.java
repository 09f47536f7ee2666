package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;

/** There is no such resource. */
public record ResourceNotFound(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param kind the kind asked for
   * @param name the name asked for
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
