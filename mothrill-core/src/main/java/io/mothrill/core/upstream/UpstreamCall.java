package io.mothrill.core.upstream;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.UpstreamSpec;

/**
 * One call as it is sent to an upstream.
 *
 * @param requestId the run's id, which the upstream echoes
 * @param target where the upstream listens
 * @param priority the class of the call
 * @param method the HTTP method
 * @param path the path with its query
 * @param contentType the media type of the body
 * @param body the body
 * @param maxOutputTokens the output cap
 * @param streamed whether the answer comes as server-sent events
 * @param freshConnection whether to open a connection for it: one that lay idle may have gone
 *     silent, which would leave the outcome of an unrepeatable call unknown
 * @param stallMs how long the upstream may be silent before the call is given up
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
