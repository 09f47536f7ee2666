package io.mothrill.core.config;

import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.Spec;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A configuration change requested by an operator.
 *
 * @param kind the kind of resource
 * @param name the resource's name
 * @param spec the desired spec; empty to delete the resource
 * @param expectedVersion the current resource version that the change requires, 0 if the resource
 *     must not exist; empty for any
 * @param changeId makes the request idempotent
 * @param who the operator, recorded in the change log
 */
public record ChangeRequest(
    ResourceKind kind,
    String name,
    Optional<Spec> spec,
    OptionalLong expectedVersion,
    String changeId,
    String who) {}
