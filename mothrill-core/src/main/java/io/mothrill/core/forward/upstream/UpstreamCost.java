package io.mothrill.core.forward.upstream;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Says how much it would cost to send a request to an upstream; the least cost is taken. */
public interface UpstreamCost {

  /**
   * Prepares the comparison for one request.
   *
   * @param query the request
   * @param upstreams all upstreams that take requests of the service
   * @param nowMs the time
   * @return gives the cost of each upstream, comparable only with the others of this request
   */
  ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs);
}
