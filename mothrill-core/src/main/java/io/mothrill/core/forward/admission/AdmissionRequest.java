package io.mothrill.core.forward.admission;

/**
 * The properties of a request that its admission depends on.
 *
 * @param team the team; empty if its route needs none
 * @param priority the team's priority, or that of the route if the team has none; 0 is the most
 *     urgent
 * @param targetLatencyMs the target time to the answer, or to the first event of a stream
 * @param callerDeadlineMs when its caller stops waiting, including the caller's own retries
 */
public record AdmissionRequest(
    String team, int priority, long targetLatencyMs, long callerDeadlineMs) {}
