package io.mothrill.core.forward.load;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Uses one cost for services with decisions under load and another one for all others. */
public final class SwitchedCost implements UpstreamCost {

  private final LoadFeatures features;
  private final UpstreamCost underLoad;
  private final UpstreamCost otherwise;

  /**
   * Creates the cost.
   *
   * @param features determines where decisions under load are active
   * @param underLoad the cost where they are active
   * @param otherwise the cost where they are not
   */
  public SwitchedCost(LoadFeatures features, UpstreamCost underLoad, UpstreamCost otherwise) {
    this.features = features;
    this.underLoad = underLoad;
    this.otherwise = otherwise;
  }

  private UpstreamCost costOf(UpstreamQuery query) {
    return features.isActive(query.service()) ? underLoad : otherwise;
  }

  @Override
  public ToDoubleFunction<RegisteredUpstream> costFunction(
      UpstreamQuery query, List<RegisteredUpstream> upstreams, long nowMs) {
    return costOf(query).costFunction(query, upstreams, nowMs);
  }

  @Override
  public Optional<RegisteredUpstream> select(
      UpstreamQuery query,
      List<RegisteredUpstream> candidates,
      ToDoubleFunction<RegisteredUpstream> costFunction) {
    return costOf(query).select(query, candidates, costFunction);
  }
}
