package io.mothrill.lab.experiment;

import io.mothrill.lab.fleet.Fleet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Baseline: every top-up is split evenly and permanently between the reachable instances. */
final class SplitPolicy implements SpendPolicy {

  private final Fleet fleet;
  private final List<String> instances;
  private final Map<String, Long> leftTokens = new HashMap<>();

  SplitPolicy(Fleet fleet, List<String> instances) {
    this.fleet = fleet;
    this.instances = instances;
  }

  private static String share(String instance, String budget) {
    return instance + "/" + budget;
  }

  @Override
  public CompletableFuture<Optional<Hold>> reserve(String instance, String budget, long tokens) {
    String share = share(instance, budget);
    if (leftTokens.getOrDefault(share, 0L) < tokens) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    leftTokens.merge(share, -tokens, Long::sum);
    Hold hold = usedTokens -> leftTokens.merge(share, tokens - usedTokens, Long::sum);
    return CompletableFuture.completedFuture(Optional.of(hold));
  }

  @Override
  public void onTopUp(String budget, long tokens) {
    List<String> reached =
        instances.stream().filter(id -> fleet.reachesPlatform(fleet.node(id))).toList();
    reached.forEach(id -> leftTokens.merge(share(id, budget), tokens / reached.size(), Long::sum));
  }

  @Override
  public long withinReachTokens(String instance, String budget) {
    return leftTokens.getOrDefault(share(instance, budget), 0L);
  }
}
