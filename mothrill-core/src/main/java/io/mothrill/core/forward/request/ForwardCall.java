package io.mothrill.core.forward.request;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The properties of a caller's request that decisions are based on.
 *
 * @param id the caller's id for this request; empty if it sent none
 * @param method the HTTP method
 * @param host the requested host, in lower case and without a port
 * @param path the path without the query
 * @param key the key that the caller has sent
 * @param deadlineMs how long the caller will wait, starting now
 * @param prompt the properties of its prompt
 * @param lastEventId the last event that the caller has received, if it resumes a stream
 * @param resumedId the id of the request that brought the first event of the stream; empty if the
 *     caller sent none
 */
public record ForwardCall(
    String id,
    String method,
    String host,
    String path,
    Optional<String> key,
    OptionalLong deadlineMs,
    Optional<Prompt> prompt,
    OptionalLong lastEventId,
    String resumedId) {}
