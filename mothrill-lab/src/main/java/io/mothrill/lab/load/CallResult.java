package io.mothrill.lab.load;

/**
 * What came of a call.
 *
 * @param call the call
 * @param status the HTTP status; 0 when the connection failed
 * @param code the error's code; empty when there was none
 * @param requestId the id that came with the first bytes; empty when none came
 * @param whole true when the answer was whole and the call's own
 * @param billableTokens what the answer said it used
 * @param firstByteMs from the planned start to the first part of the answer
 * @param lastByteMs from the planned start to the end
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
   * Says whether the caller got what it asked for.
   *
   * @return true for a whole answer
   */
  public boolean isServed() {
    return status == 200 && whole;
  }
}
