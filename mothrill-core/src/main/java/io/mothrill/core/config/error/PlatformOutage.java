package io.mothrill.core.config.error;

import io.mothrill.core.error.ErrorMessage;

/** The platform did not answer; the same change id may be sent again. */
public record PlatformOutage(String text) implements ErrorMessage {

  /**
   * Creates the message.
   *
   * @param detail the platform layer's own message
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
