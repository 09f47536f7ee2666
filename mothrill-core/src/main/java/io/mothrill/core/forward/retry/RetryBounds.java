package io.mothrill.core.forward.retry;

/**
 * How many sends beyond the first a service may get from all instances together.
 *
 * @param ratio sends for each request of callers
 * @param extraCount sends that are allowed besides, in each window
 * @param windowMs the length of a window
 */
public record RetryBounds(double ratio, int extraCount, long windowMs) {}
