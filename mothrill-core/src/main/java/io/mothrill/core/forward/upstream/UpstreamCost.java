package io.mothrill.core.forward.upstream;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Computes the cost of sending a request to an upstream; the lowest cost is selected. */
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
}
