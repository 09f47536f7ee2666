package io.mothrill.core.request;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.upstream.CallBody;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request as a caller sent it.
 *
 * @param bearer the team's key, as {@code team.secret}; empty when there was none
 * @param type whether a model or a plain service was asked for
 * @param service the model's or service's name
 * @param idempotencyKey the caller's key, when it sent one
 * @param priority the class, when the caller named one
 * @param unrepeatable true when the caller said that it may not run twice
 * @param budget the budget, when the caller named one
 * @param maxPromptTokens the most tokens that the prompt can come to
 * @param maxOutputTokens the output cap, when the caller named one
 * @param streamed whether the answer is to be streamed
 * @param affinity the start of the prompt, for prefix caches; may be empty
 * @param fingerprint hash of the request, so that a key is not used for two
 * @param method the HTTP method for the upstream
 * @param path the path for the upstream
 * @param contentType the media type of the body
 * @param body the body
 * @param truncationEnding what ends a streamed answer that is cut at its cap; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallRequest(
    String bearer,
    ServiceType type,
    String service,
    Optional<String> idempotencyKey,
    Optional<Priority> priority,
    boolean unrepeatable,
    Optional<String> budget,
    long maxPromptTokens,
    OptionalLong maxOutputTokens,
    boolean streamed,
    String affinity,
    String fingerprint,
    String method,
    String path,
    String contentType,
    CallBody body,
    byte[] truncationEnding) {}
