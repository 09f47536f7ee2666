package io.mothrill.wire.forward;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What mothrill adds to a request for the upstream.
 *
 * @param upstreamId the intended upstream; another one at its address must not run the request
 * @param team the team of the caller; empty when the route needs none
 * @param remainingMs how long the upstream may work; absent when unlimited
 * @param urgency the priority at the upstream; 0 is the most urgent
 * @param lastEventId the id of the last event that the caller received
 */
public record UpstreamRequestContext(
    String upstreamId,
    Optional<String> team,
    OptionalLong remainingMs,
    OptionalInt urgency,
    OptionalLong lastEventId) {}
