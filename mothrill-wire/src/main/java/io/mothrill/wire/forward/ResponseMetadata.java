package io.mothrill.wire.forward;

import io.mothrill.core.forward.answer.SelfReport;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Metadata in the head of an upstream's response.
 *
 * @param requestId the id of the request that is answered, if stated
 * @param isContradictory true when a header that a response has once has several values
 * @param notRun true when the upstream states that it did not run the request
 * @param runningCount number of requests running at the upstream, if stated
 * @param queuedCount number of requests queued at the upstream, if stated
 * @param slowdown how much longer work takes on the upstream's machine now than usual, as a factor,
 *     if stated
 * @param keepAliveMs how long the upstream keeps an idle connection open, if stated
 * @param selfReport what the upstream reports about its own state
 */
public record ResponseMetadata(
    Optional<String> requestId,
    boolean isContradictory,
    boolean notRun,
    OptionalInt runningCount,
    OptionalInt queuedCount,
    OptionalDouble slowdown,
    OptionalInt keepAliveMs,
    SelfReport selfReport) {

  /** Returns the number of requests running and queued at the upstream, if stated. */
  OptionalInt requestCount() {
    return runningCount.isPresent()
        ? OptionalInt.of(runningCount.getAsInt() + queuedCount.orElse(0))
        : OptionalInt.empty();
  }
}
