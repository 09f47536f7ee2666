package io.mothrill.wire.forward;

import io.mothrill.core.forward.answer.SelfReport;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What an upstream's answer says of itself.
 *
 * @param requestId the request that it answers, if it says so
 * @param notRun true when the upstream says that it did not run the request
 * @param running requests that the upstream works on, if it says so
 * @param waiting requests that wait at it, if it says so
 * @param idleMs how long the upstream keeps the connection open unused, if it says so
 * @param self what the upstream says of its own state
 */
public record ReplyMarks(
    Optional<String> requestId,
    boolean notRun,
    OptionalInt running,
    OptionalInt waiting,
    OptionalInt idleMs,
    SelfReport self) {}
