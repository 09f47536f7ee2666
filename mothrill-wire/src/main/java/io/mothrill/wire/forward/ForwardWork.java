package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.Route;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.forward.request.ForwardCall;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/**
 * A request that was admitted, with everything that does not change any more.
 *
 * @param parts what every request needs
 * @param pool connections to upstreams
 * @param loop the event loop of the caller's connection
 * @param reply the way back to the caller
 * @param head the caller's head
 * @param call what decisions need of it
 * @param body the whole body
 * @param route its route
 * @param service the service that was chosen
 * @param team the team that pays; empty when the route needs none
 * @param startMs when the head had arrived
 * @param endMs when the caller must have its answer
 */
record ForwardWork(
    ForwardParts parts,
    UpstreamPool pool,
    EventLoop loop,
    CallerReply reply,
    HttpRequest head,
    ForwardCall call,
    ByteBuf body,
    Route route,
    String service,
    Optional<TeamPlan> team,
    long startMs,
    long endMs) {

  long leftMs() {
    return endMs - parts.timers().nowMs();
  }
}
