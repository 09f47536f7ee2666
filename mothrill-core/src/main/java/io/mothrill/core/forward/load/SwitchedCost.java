package io.mothrill.core.forward.load;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Selects the cost of a request by whether decisions under load are active for its service. */
public final class SwitchedCost implements UpstreamCost {

  private final LoadFeatures features;
  private final UpstreamCost underLoad;
  private final UpstreamCost otherwise;

  /**
   * Creates the cost.
   *
   * @param features determines where decisions under load are active
   * @param underLoad the cost where they are
   * @param otherwise the cost everywhere else
   */
  public SwitchedCost(LoadFeatures features, UpstreamCost underLoad, UpstreamCost otherwise) {
    this.features = features;
    this.underLoad = underLoad;
    this.otherwise = otherwise;
  }

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    return (features.isActive(query.service()) ? underLoad : otherwise)
        .costFunction(query, upstreams, nowMs);
  }
}
