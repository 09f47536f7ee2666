package io.mothrill.core.forward.answer;

import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The state that an upstream announces in an answer.
 *
 * @param warmUpRemainingMs the remaining warm-up time, if announced
 * @param limitPerS the requests per second that it accepts from all instances together; empty if it
 *     announces no limit
 * @param leaving true if it announces that it is leaving
 * @param backoffMs how long it wants no requests from this instance, if it requests a backoff
 * @param maxRejectionsPerS how many requests per second of all instances together it can turn away
 *     for want of room; empty if it announces no such bound
 * @param turnedAway true if it has turned the request away
 */
public record SelfReport(
    OptionalLong warmUpRemainingMs,
    OptionalDouble limitPerS,
    boolean leaving,
    OptionalLong backoffMs,
    OptionalInt maxRejectionsPerS,
    boolean turnedAway) {}
