package io.mothrill.core.resource;

/**
 * Evacuates the failure domain that the resource is named after: while it is declared, upstreams in
 * the domain get no new requests.
 */
public record EvacuationSpec() implements Spec {

  @Override
  public ResourceKind kind() {
    return ResourceKind.EVACUATION;
  }
}
