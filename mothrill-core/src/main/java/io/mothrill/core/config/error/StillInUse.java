package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;
import java.util.List;

/** The resource cannot be deleted while others refer to it. */
public record StillInUse(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param name the resource's name
   * @param dependents the resources that refer to it
   * @return the message
   */
  public static StillInUse stillInUse(String name, List<String> dependents) {
    return new StillInUse(name + " is still referred to by " + String.join(", ", dependents));
  }

  @Override
  public String code() {
    return "in_use";
  }
}
