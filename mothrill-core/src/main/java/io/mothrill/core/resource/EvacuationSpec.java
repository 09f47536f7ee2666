package io.mothrill.core.resource;

/**
 * Empties a failure domain, which the resource is named after: as long as it is declared, the
 * upstreams there get nothing new.
 */
public record EvacuationSpec() implements Spec {

  @Override
  public ResourceKind kind() {
    return ResourceKind.EVACUATION;
  }
}
