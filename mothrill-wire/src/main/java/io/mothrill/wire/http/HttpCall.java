package io.mothrill.wire.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * One HTTP request of the client.
 *
 * @param to the server
 * @param pool names the pool of connections, so that classes of calls do not share them
 * @param method the method
 * @param path the path with its query
 * @param headers the headers; length and host are added
 * @param body the body; not to be changed
 * @param freshConnection whether to open a connection for this call alone
 * @param stallMs how long the server may be silent
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
    Address to,
    String pool,
    HttpMethod method,
    String path,
    HttpHeaders headers,
    byte[] body,
    boolean freshConnection,
    long stallMs) {}
