package io.mothrill.core.forward.plan;

/**
 * What an upstream bears while it warms up after its start.
 *
 * @param durationMs how long it takes to be as fast as it will be
 * @param requestsPerS requests that it bears in a second meanwhile; it ends under many more
 */
public record WarmUpPlan(long durationMs, double requestsPerS) {}
