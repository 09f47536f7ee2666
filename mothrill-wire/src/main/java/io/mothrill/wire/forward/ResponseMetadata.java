package io.mothrill.wire.forward;

import io.mothrill.core.forward.answer.SelfReport;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What an upstream's answer says of itself.
 *
 * @param requestId the request that it answers, if it says so
 * @param notRun true when the upstream says that it did not run the request
 * @param runningCount requests that the upstream works on, if it says so
 * @param queuedCount requests that wait at it, if it says so
 * @param keepAliveMs how long the upstream keeps the connection open unused, if it says so
 * @param selfReport what the upstream says of its own state
 */
public record ResponseMetadata(
    Optional<String> requestId,
    boolean notRun,
    OptionalInt runningCount,
    OptionalInt queuedCount,
    OptionalInt keepAliveMs,
    SelfReport selfReport) {}
