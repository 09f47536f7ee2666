package io.mothrill.daemon.forward;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.prompt.EnginePools;
import io.mothrill.core.forward.prompt.FirstEventCost;
import io.mothrill.core.forward.prompt.PrefillTimeModel;
import io.mothrill.core.forward.prompt.PromptClassifier;
import io.mothrill.core.forward.prompt.PromptTracker;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.UpstreamCondition;
import io.mothrill.core.forward.upstream.UpstreamCost;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.peer.NoticeRecipients;
import io.mothrill.core.time.Timers;
import java.util.random.RandomGenerator;

/** Assembles the components that choose the engine of a prompt where decisions under load apply. */
final class PromptSelection {

  private final PrefillTimeModel model;
  private final EnginePools pools;
  private final UpstreamCost cost;
  private final PromptTracker tracker;

  PromptSelection(
      String ownDomain,
      LoadFeatures features,
      UpstreamSelection.View view,
      FleetView fleet,
      UpstreamLoads loads,
      PrefixCacheEstimator prefixCache,
      UpstreamCondition condition,
      Timers timers,
      RandomGenerator random) {
    this.model = new PrefillTimeModel();
    PromptClassifier classifier = new PromptClassifier(view.plan(), model);
    this.pools =
        new EnginePools(
            prefixCache,
            () -> 1 + Math.min(NoticeRecipients.MAX_COUNT, fleet.others().size()),
            timers);
    this.cost =
        new FirstEventCost(
            ownDomain, loads, prefixCache, model, classifier, pools, condition, random);
    this.tracker =
        new PromptTracker(
            features,
            view.upstreams(),
            loads,
            prefixCache,
            model,
            classifier,
            pools,
            condition,
            timers);
  }

  PrefillTimeModel model() {
    return model;
  }

  EnginePools pools() {
    return pools;
  }

  UpstreamCost cost() {
    return cost;
  }

  PromptTracker tracker() {
    return tracker;
  }
}
