package io.mothrill.core.forward.contention;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * A report between instances about an upstream that is slow or has queued requests.
 *
 * @param incarnation the incarnation of the upstream
 * @param waitMs how long a request sent now would wait before the upstream starts on it; an
 *     estimate
 * @param slowdown how much longer work takes on the upstream's machine than usual, as a factor, if
 *     the upstream announced it
 * @param running the number of requests running at the upstream, if it announced it
 * @param queued the number of requests queued at the upstream, if it announced it
 */
public record ContentionReport(
    String incarnation,
    long waitMs,
    OptionalDouble slowdown,
    OptionalInt running,
    OptionalInt queued) {}
