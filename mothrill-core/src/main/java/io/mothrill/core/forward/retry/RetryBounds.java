package io.mothrill.core.forward.retry;

/**
 * Limits on the retries to a service from all instances together.
 *
 * @param ratio the retries allowed per request of callers
 * @param extraCount the retries allowed in addition, in each window
 * @param windowMs the length of a window
 */
public record RetryBounds(double ratio, int extraCount, long windowMs) {}
