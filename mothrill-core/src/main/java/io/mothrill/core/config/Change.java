package io.mothrill.core.config;

import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import java.util.Optional;

/**
 * One accepted change of configuration.
 *
 * @param revision counts accepted changes, without gaps
 * @param kind the kind of the changed resource
 * @param name its name
 * @param resource the resource after the change; empty when it was deleted
 * @param changeId the operator's id for the change
 * @param who the operator
 * @param wallMs when it was accepted, milliseconds since the epoch
 */
public record Change(
    long revision,
    ResourceKind kind,
    String name,
    Optional<Resource> resource,
    String changeId,
    String who,
    long wallMs) {}
