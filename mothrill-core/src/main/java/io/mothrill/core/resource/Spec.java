package io.mothrill.core.resource;

/** What an operator declares of a resource. */
public sealed interface Spec
    permits TeamSpec, BudgetSpec, ServiceSpec, UpstreamSpec, EvacuationSpec {

  /**
   * Says which kind this declares.
   *
   * @return the kind
   */
  ResourceKind kind();
}
