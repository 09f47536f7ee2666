package io.mothrill.core.range;

import io.mothrill.core.request.RequestKey;

/**
 * The claim of one run to be the only one of its request.
 *
 * @param key the request key
 * @param requestId the run's id
 */
public record SoleClaim(RequestKey key, String requestId) {}
