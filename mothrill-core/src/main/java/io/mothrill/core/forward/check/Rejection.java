package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;

/**
 * The reason why a request may not be sent to an upstream.
 *
 * @param cause the cause reported to the caller when every upstream is rejected
 * @param retryAfterMs the time after which the reason may no longer apply
 */
public record Rejection(Cause cause, long retryAfterMs) {}
