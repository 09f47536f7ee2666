package io.mothrill.core.forward.upstream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Computes the cost of sending a request to an upstream, and selects by it. */
public interface UpstreamCost {

  /**
   * Creates the cost function for one request.
   *
   * @param query the request
   * @param upstreams all upstreams that accept requests of the service
   * @param nowMs the current time
   * @return the cost of each upstream, comparable only between upstreams of this request
   */
  ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs);

  /**
   * Selects one of the upstreams that the request may be sent to; by default the cheapest.
   *
   * @param query the request
   * @param candidates the upstreams
   * @param costOf a cost function created for this request
   * @return the selected upstream, or empty if there are no candidates
   */
  default Optional<RegisteredUpstream> select(
      UpstreamQuery query,
      List<RegisteredUpstream> candidates,
      ToDoubleFunction<RegisteredUpstream> costOf) {
    return candidates.stream()
        .map(upstream -> Map.entry(upstream, costOf.applyAsDouble(upstream)))
        .min(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }
}
