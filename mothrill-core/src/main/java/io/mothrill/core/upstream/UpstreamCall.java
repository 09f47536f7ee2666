package io.mothrill.core.upstream;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.UpstreamSpec;

/**
 * A call to an upstream.
 *
 * @param requestId the id of the run, echoed by the upstream
 * @param target the upstream
 * @param priority the priority of the call
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the media type of the body
 * @param body the body
 * @param maxOutputTokens the output cap
 * @param streamed whether the response is a stream of server-sent events
 * @param freshConnection whether to open a new connection: a pooled one may have died unnoticed
 *     while idle, which would leave the outcome of an unrepeatable call unknown
 * @param stallMs how long the upstream may send nothing before the call is aborted
 */
public record UpstreamCall(
    String requestId,
    UpstreamSpec target,
    Priority priority,
    String method,
    String path,
    String contentType,
    CallBody body,
    long maxOutputTokens,
    boolean streamed,
    boolean freshConnection,
    long stallMs) {}
