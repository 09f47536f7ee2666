package io.mothrill.core.forward.answer;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What an upstream says of its own state in an answer.
 *
 * @param warmUpRemainingMs how much longer it warms up, if it says so
 * @param limitPerS the requests a second that it takes from all instances together; empty when it
 *     names no limit
 * @param leaving true when it says that it leaves
 * @param backoffMs how long it wants no requests of this instance, if it asks for that
 */
public record SelfReport(
    OptionalLong warmUpRemainingMs,
    OptionalDouble limitPerS,
    boolean leaving,
    OptionalLong backoffMs) {}
