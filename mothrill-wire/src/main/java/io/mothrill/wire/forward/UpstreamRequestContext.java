package io.mothrill.wire.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What mothrill tells an upstream about a request.
 *
 * @param upstreamId the upstream that is meant; another one at its address must not run it
 * @param team the team that the caller belongs to; empty when it needs none
 * @param remainingMs how long the upstream may work; absent when nothing bounds it
 * @param urgency its rank at the upstream; 0 is the most urgent
 * @param lastEventId the last event that the caller has got
 */
public record UpstreamRequestContext(
    String upstreamId,
    Optional<String> team,
    OptionalLong remainingMs,
    OptionalInt urgency,
    OptionalLong lastEventId) {}
