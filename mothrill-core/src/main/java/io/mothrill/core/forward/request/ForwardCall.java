package io.mothrill.core.forward.request;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * One request of a caller, as far as decisions need it.
 *
 * @param id the caller's id for this request; empty when it gave none
 * @param method the HTTP method
 * @param host the host that it names, in lower case and without a port
 * @param path the path without the query
 * @param key the key that the caller has shown
 * @param deadlineMs how long the caller will wait, from now on
 * @param prompt what it says of its prompt
 * @param lastEventId the last event that the caller has seen, when it continues a stream
 */
public record ForwardCall(
    String id,
    String method,
    String host,
    String path,
    Optional<String> key,
    OptionalLong deadlineMs,
    Optional<Prompt> prompt,
    OptionalLong lastEventId) {}
