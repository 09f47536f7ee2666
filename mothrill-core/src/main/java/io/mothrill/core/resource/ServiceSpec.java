package io.mothrill.core.resource;

/**
 * A model or plain service that callers may name.
 *
 * @param type what stands behind it
 * @param priority the class of calls that name none themselves
 * @param repeatable false when no call may ever run twice
 * @param maxOutputTokens the output cap of calls that name none, and the most that one may name
 * @param tokensPerCall what one call to a plain service costs
 * @param timeoutMs how long one call may take in all
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
