package io.mothrill.core.request;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.upstream.CallBody;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A request as received from a caller.
 *
 * @param bearer the team's API key, as {@code team.secret}; empty when there was none
 * @param type whether a model or a plain service is requested
 * @param service the model's or service's name
 * @param idempotencyKey the idempotency key, when the caller sent one
 * @param priority the class, when the caller specified one
 * @param unrepeatable true when the caller marked the request as not repeatable
 * @param budget the budget, when the caller specified one
 * @param maxPromptTokens the maximum number of tokens of the prompt
 * @param maxOutputTokens the limit of output tokens, when the caller specified one
 * @param streamed whether the answer is streamed
 * @param affinity the start of the prompt, which selects an upstream with a matching prefix cache;
 *     may be empty
 * @param fingerprint a hash of the request, to detect a key that is reused for another request
 * @param method the HTTP method for the upstream
 * @param path the path for the upstream
 * @param contentType the media type of the body
 * @param body the body
 * @param truncationEnding the bytes that end a streamed answer truncated at its limit; must not be
 *     modified
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
