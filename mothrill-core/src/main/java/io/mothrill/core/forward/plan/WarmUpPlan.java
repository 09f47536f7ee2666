package io.mothrill.core.forward.plan;

/**
 * The capacity of an upstream while it is warming up after a start.
 *
 * @param durationMs the time until it has reached its full speed
 * @param requestsPerS the requests per second that it can handle until then; it crashes under many
 *     more
 */
public record WarmUpPlan(long durationMs, double requestsPerS) {}
