package io.mothrill.core.forward.plan;

/**
 * One target of a route that is split between services.
 *
 * @param service the service's name
 * @param weight its share, relative to the weights of the other targets
 */
public record WeightedService(String service, int weight) {}
