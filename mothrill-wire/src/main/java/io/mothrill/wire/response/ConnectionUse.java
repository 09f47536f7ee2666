package io.mothrill.wire.response;

/**
 * Names one connection in the log and tells how far it has been used.
 *
 * @param number the number of the connection, unique in its process
 * @param upstream the incarnation of the upstream at its end
 * @param requestCount the number of requests that were sent on it
 * @param lastRequestId the id of the last one; empty before the first
 */
public record ConnectionUse(long number, String upstream, int requestCount, String lastRequestId) {

  /** Returns a connection on which another request is sent. */
  public ConnectionUse withRequest(String requestId) {
    return new ConnectionUse(number, upstream, requestCount + 1, requestId);
  }

  /** Returns a description for the log. */
  public String describe() {
    return "connection " + number + " request " + requestCount;
  }
}
