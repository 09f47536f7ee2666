package io.mothrill.wire.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What an upstream's answer says of itself.
 *
 * @param requestId the request that it answers, if it says so
 * @param notRun true when the upstream says that it did not run the request
 * @param running requests that the upstream works on, if it says so
 * @param waiting requests that wait at it, if it says so
 * @param warmUpLeftMs how much longer the upstream warms up, if it says so
 * @param idleMs how long the upstream keeps the connection open unused, if it says so
 */
public record ReplyMarks(
    Optional<String> requestId,
    boolean notRun,
    OptionalInt running,
    OptionalInt waiting,
    OptionalLong warmUpLeftMs,
    OptionalInt idleMs) {}
