package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.ForwardCall;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/**
 * A completely received request.
 *
 * @param dependencies the dependencies shared by all requests
 * @param pool the connection pool for upstreams
 * @param starter starts the request once everything readable has been read
 * @param leaveEnd when requests must have ended once the instance leaves
 * @param loop the event loop of the caller's connection
 * @param response the response to the caller
 * @param head the request head
 * @param call the request fields that decisions depend on
 * @param body the complete body
 * @param startMs when the head arrived
 */
record ReceivedRequest(
    ForwardDependencies dependencies,
    UpstreamPool pool,
    RequestStarter starter,
    LeaveEnd leaveEnd,
    EventLoop loop,
    CallerResponse response,
    HttpRequest head,
    ForwardCall call,
    ByteBuf body,
    long startMs) {

  /** Longer than any request; still small enough to be added to a time. */
  private static final long UNLIMITED_MS = Long.MAX_VALUE / 2;

  /**
   * Returns when the caller must have its response.
   *
   * @param routeTimeoutMs the time limit of the route; empty while the route is unknown
   */
  long deadlineMs(Optional<Long> routeTimeoutMs) {
    long callerMs = call.deadlineMs().orElse(UNLIMITED_MS);
    return startMs + Math.min(callerMs, routeTimeoutMs.orElse(UNLIMITED_MS));
  }
}
