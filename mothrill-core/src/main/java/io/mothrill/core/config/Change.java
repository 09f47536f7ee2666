package io.mothrill.core.config;

import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import java.util.Optional;

/**
 * An accepted configuration change.
 *
 * @param revision the sequence number of the change; revisions have no gaps
 * @param kind the kind of the changed resource
 * @param name its name
 * @param resource the resource after the change; empty when it was deleted
 * @param changeId the id that the operator gave the change, for deduplication
 * @param who the operator
 * @param wallMs when it was accepted, in milliseconds since the epoch
 */
public record Change(
    long revision,
    ResourceKind kind,
    String name,
    Optional<Resource> resource,
    String changeId,
    String who,
    long wallMs) {}
