package io.mothrill.core.forward.limit;

import java.util.OptionalDouble;

/**
 * A report between instances about the rate limit of an upstream.
 *
 * @param incarnation the incarnation of the upstream
 * @param limitPerS the announced limit; empty if the upstream no longer announces one
 */
public record RateLimitReport(String incarnation, OptionalDouble limitPerS) {}
