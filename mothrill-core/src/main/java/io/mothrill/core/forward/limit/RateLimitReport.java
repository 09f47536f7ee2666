package io.mothrill.core.forward.limit;

import java.util.OptionalDouble;

/**
 * What one instance tells others about the limit of an upstream.
 *
 * @param incarnation the start of the upstream that is meant
 * @param limitPerS the limit that it names; empty when it names none any more
 */
public record RateLimitReport(String incarnation, OptionalDouble limitPerS) {}
