package io.mothrill.wire.forward;

import io.mothrill.wire.response.StatusLineSearch;
import io.netty.buffer.ByteBuf;

/**
 * Limits the responses to other requests that are skipped in front of the right one; confined to
 * the event loop of its connection.
 *
 * <p>An upstream may respond a second time to an earlier request. That response has been sent
 * already when the right one is expected, so it is short and arrives soon. An upstream that sends
 * more is not about to respond.
 */
final class SkippedResponses {

  /** What the sockets of a connection hold. */
  private static final long MAX_BYTES = 4 << 20;

  /** The time in which a link of 20 Mbit/s delivers that much. */
  private static final long MAX_MS = 2_000;

  private final StatusLineSearch statusLine = new StatusLineSearch();
  private int requestCount;
  private int skippedCount;
  private long skippedBytes;
  private long sinceMs;

  /** Called when a request is sent on the connection. */
  void onRequest() {
    requestCount++;
    skippedCount = 0;
    skippedBytes = 0;
  }

  /** Called when a response to another request begins. */
  void onHead(long nowMs) {
    if (skippedCount == 0) {
      sinceMs = nowMs;
    }
    skippedCount++;
    statusLine.reset();
  }

  /**
   * Called when a part of such a response has arrived.
   *
   * @return true if another response begins inside this one, which was cut off
   */
  boolean onContent(ByteBuf content) {
    skippedBytes += content.readableBytes();
    return statusLine.find(content);
  }

  /** Checks whether responses were skipped since the last request. */
  boolean hasSkipped() {
    return skippedCount > 0;
  }

  /** Checks whether this is more than second responses to the requests of the connection. */
  boolean isExceeded(long nowMs) {
    return skippedCount > requestCount || skippedBytes > MAX_BYTES || nowMs - sinceMs > MAX_MS;
  }

  /** Returns a description for the log. */
  String describe(long nowMs) {
    return "responses to other requests: "
        + skippedCount
        + " of "
        + skippedBytes
        + " bytes in "
        + (nowMs - sinceMs)
        + " ms";
  }
}
