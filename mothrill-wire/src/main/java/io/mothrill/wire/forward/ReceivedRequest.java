package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.ForwardCall;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request that has arrived whole.
 *
 * @param dependencies what every request needs
 * @param pool connections to upstreams
 * @param loop the event loop of the caller's connection
 * @param response the way back to the caller
 * @param head the caller's head
 * @param call what decisions need of it
 * @param body the whole body
 * @param startMs when the head had arrived
 */
record ReceivedRequest(
    ForwardDependencies dependencies,
    UpstreamPool pool,
    EventLoop loop,
    CallerResponse response,
    HttpRequest head,
    ForwardCall call,
    ByteBuf body,
    long startMs) {}
