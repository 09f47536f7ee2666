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

  private static String shareKey(String instance, String budget) {
    return instance + "/" + budget;
  }

  @Override
  public CompletableFuture<Optional<TokenReservation>> reserve(
      String instance, String budget, long tokens) {
    String shareKey = shareKey(instance, budget);
    if (leftTokens.getOrDefault(shareKey, 0L) < tokens) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    leftTokens.merge(shareKey, -tokens, Long::sum);
    TokenReservation reservation =
        usedTokens -> leftTokens.merge(shareKey, tokens - usedTokens, Long::sum);
    return CompletableFuture.completedFuture(Optional.of(reservation));
  }

  @Override
  public void onTopUp(String budget, long tokens) {
    List<String> reachable =
        instances.stream().filter(id -> fleet.reachesPlatform(fleet.node(id))).toList();
    reachable.forEach(
        id -> leftTokens.merge(shareKey(id, budget), tokens / reachable.size(), Long::sum));
  }

  @Override
  public long reachableTokens(String instance, String budget) {
    return leftTokens.getOrDefault(shareKey(instance, budget), 0L);
  }
}
