package io.mothrill.wire.http.error;

/** A call got no whole answer. */
public final class HttpException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the error.
   *
   * @param sent false when no byte of the call was written
   * @param detail what happened
   */
  public HttpException(boolean sent, String detail) {
    super(detail);
    this.sent = sent;
  }

  /**
   * Says whether the server may have got the call.
   *
   * @return false when no byte was written
   */
  public boolean isSent() {
    return sent;
  }
}
