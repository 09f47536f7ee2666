package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;

/**
 * Why a request may not be sent to an upstream.
 *
 * @param cause what its caller is told when this stands in the way everywhere
 * @param retryAfterMs when it may be over
 */
public record Rejection(Cause cause, long retryAfterMs) {}
