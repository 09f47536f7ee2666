package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;

/** The platform did not respond; the change may be sent again with the same change id. */
public record PlatformOutage(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param detail the message of the platform layer
   * @return the message
   */
  public static PlatformOutage platformOutage(String detail) {
    return new PlatformOutage(
        "the change may or may not have been accepted; send it again with the same change id: "
            + detail);
  }

  @Override
  public String code() {
    return "platform_unavailable";
  }
}
