package io.mothrill.core.range;

import io.mothrill.core.request.RequestKey;

/**
 * A claim that only one run of a request may be sent.
 *
 * @param key the request key
 * @param requestId the id of the run
 */
public record SoleClaim(RequestKey key, String requestId) {}
