package io.mothrill.core.routing;

/**
 * What an upstream said of its load; it lags behind the truth.
 *
 * @param running calls that it was working on
 * @param queued calls that waited there
 * @param leaving true when it said that it must get nothing new
 * @param atMs when the report came, on the timer service
 */
public record LoadReport(int running, int queued, boolean leaving, long atMs) {}
