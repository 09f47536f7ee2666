package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.ForwardCall;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A completely received request.
 *
 * @param dependencies the dependencies shared by all requests
 * @param pool the connection pool for upstreams
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
    EventLoop loop,
    CallerResponse response,
    HttpRequest head,
    ForwardCall call,
    ByteBuf body,
    long startMs) {}
