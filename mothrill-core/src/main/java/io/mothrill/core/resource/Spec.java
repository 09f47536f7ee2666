package io.mothrill.core.resource;

/** The declared content of a resource. */
public sealed interface Spec
    permits TeamSpec, BudgetSpec, ServiceSpec, UpstreamSpec, EvacuationSpec {

  /**
   * Returns the kind of resource that this spec declares.
   *
   * @return the kind
   */
  ResourceKind kind();
}
