package io.mothrill.core.resource;

/**
 * A model or plain service that callers can request.
 *
 * @param type the type of its upstreams
 * @param priority the priority of calls that do not specify one
 * @param repeatable false when a call must not run more than once
 * @param maxOutputTokens the default and maximum output cap of a call
 * @param tokensPerCall the tokens charged for a call to a plain service
 * @param timeoutMs the total time limit of a call
 */
public record ServiceSpec(
    ServiceType type,
    Priority priority,
    boolean repeatable,
    long maxOutputTokens,
    long tokensPerCall,
    long timeoutMs)
    implements Spec {

  @Override
  public ResourceKind kind() {
    return ResourceKind.SERVICE;
  }
}
