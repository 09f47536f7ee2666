package io.mothrill.core.config;

import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.Spec;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A change that an operator asks for.
 *
 * @param kind the kind of resource
 * @param name the resource's name
 * @param spec what it should become; empty to delete it
 * @param expectedVersion the resource version that must still stand, 0 for none; empty for any
 * @param changeId makes a repeated request harmless
 * @param who the operator, for the history
 */
public record ChangeRequest(
    ResourceKind kind,
    String name,
    Optional<Spec> spec,
    OptionalLong expectedVersion,
    String changeId,
    String who) {}
