package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;

/** The resource has changed since the operator read it. */
public record VersionConflict(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param name the resource's name
   * @param expected the resource version that the operator read
   * @param actual the current resource version; 0 when there is no such resource
   * @return the message
   */
  public static VersionConflict versionConflict(String name, long expected, long actual) {
    return new VersionConflict(
        name + " has resourceVersion " + actual + ", but the change expects " + expected);
  }

  @Override
  public String code() {
    return "conflict";
  }
}
