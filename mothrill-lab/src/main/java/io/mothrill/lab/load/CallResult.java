package io.mothrill.lab.load;

/**
 * The result of a call.
 *
 * @param call the call
 * @param status the HTTP status; 0 if the connection failed
 * @param code the error code, or the detail of a connection failure; empty if there was none
 * @param requestId the request id from the response headers; empty if there was none
 * @param whole whether the answer is complete and belongs to the call
 * @param billableTokens the token usage reported in the answer
 * @param firstByteMs the time from the scheduled start to the first byte of the body
 * @param lastByteMs the time from the scheduled start to the end of the answer
 */
public record CallResult(
    Call call,
    int status,
    String code,
    String requestId,
    boolean whole,
    long billableTokens,
    double firstByteMs,
    double lastByteMs) {

  /**
   * Checks whether the call was served.
   *
   * @return true if the answer is complete and belongs to the call
   */
  public boolean isServed() {
    return status == 200 && whole;
  }
}
