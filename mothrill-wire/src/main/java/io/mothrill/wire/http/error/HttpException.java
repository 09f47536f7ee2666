package io.mothrill.wire.http.error;

/** Thrown when a call got no complete response. */
public final class HttpException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the exception.
   *
   * @param sent false when no byte of the call was written
   * @param detail what happened
   */
  public HttpException(boolean sent, String detail) {
    super(detail);
    this.sent = sent;
  }

  /**
   * Checks whether the server may have received the call.
   *
   * @return false when no byte of the call was written
   */
  public boolean isSent() {
    return sent;
  }
}
