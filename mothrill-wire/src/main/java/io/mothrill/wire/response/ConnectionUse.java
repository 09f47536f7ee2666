package io.mothrill.wire.response;

import java.util.List;
import java.util.stream.Stream;

/**
 * Names one connection in the log and tells how far it has been used.
 *
 * @param number the number of the connection, unique in its process
 * @param upstream the incarnation of the upstream at its end
 * @param requestCount the number of requests that were sent on it
 * @param recentIds the ids of the last ones, the newest last
 */
public record ConnectionUse(
    long number, String upstream, int requestCount, List<String> recentIds) {

  /** A late second response belongs to one of the last requests. */
  private static final int MAX_RECENT = 16;

  /** Returns the use of a connection on which nothing was sent. */
  public static ConnectionUse unused(long number, String upstream) {
    return new ConnectionUse(number, upstream, 0, List.of());
  }

  /** Returns the use of the connection after another request. */
  public ConnectionUse withRequest(String requestId) {
    int dropped = Math.max(0, recentIds.size() + 1 - MAX_RECENT);
    return new ConnectionUse(
        number,
        upstream,
        requestCount + 1,
        Stream.concat(recentIds.stream().skip(dropped), Stream.of(requestId)).toList());
  }

  /** Checks whether a request with this id is among the last ones. */
  public boolean hasCarried(String requestId) {
    return recentIds.contains(requestId);
  }

  /** Returns the id of the last request; empty before the first. */
  public String lastRequestId() {
    return recentIds.isEmpty() ? "" : recentIds.get(recentIds.size() - 1);
  }

  /** Returns a description for the log. */
  public String describe() {
    return "connection " + number + " request " + requestCount;
  }
}
