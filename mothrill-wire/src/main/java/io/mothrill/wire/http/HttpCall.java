package io.mothrill.wire.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * An HTTP request to be sent by the client.
 *
 * @param to the server
 * @param pool the name of the connection pool, so that different classes of calls do not share
 *     connections
 * @param method the method
 * @param path the path with its query
 * @param headers the headers; {@code content-length} and {@code host} are added
 * @param body the body; must not be modified
 * @param freshConnection whether to open a new connection for this call
 * @param stallMs how long the server may send nothing before the call fails
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
