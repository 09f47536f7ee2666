package io.mothrill.core.forward.limit;

import java.util.OptionalInt;

/**
 * A report between instances about a brittle upstream.
 *
 * @param incarnation the incarnation of the upstream
 * @param maxPerS how many requests per second it can turn away
 * @param turnedAway true if it has just turned a request away
 * @param requestCount the number of requests running and queued there, if it announced it
 */
public record RejectionReport(
    String incarnation, int maxPerS, boolean turnedAway, OptionalInt requestCount) {}
