package io.mothrill.core.routing;

/**
 * The load that an upstream reported. It lags behind the actual load.
 *
 * @param running the number of calls that the upstream was executing
 * @param queued the number of calls queued at the upstream
 * @param leaving true when the upstream announced that it is leaving and must get no new calls
 * @param atMs the time at which the report was received, on the timer service
 */
public record LoadReport(int running, int queued, boolean leaving, long atMs) {}
