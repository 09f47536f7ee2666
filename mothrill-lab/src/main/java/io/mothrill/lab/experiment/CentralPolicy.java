package io.mothrill.lab.experiment;

import io.mothrill.lab.fleet.Fleet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Baseline: every request is checked at the platform and refused when it is unreachable. */
final class CentralPolicy implements SpendPolicy {

  private final Fleet fleet;
  private final Map<String, Long> leftTokens = new HashMap<>();
  private long writes;

  CentralPolicy(Fleet fleet) {
    this.fleet = fleet;
  }

  long writes() {
    return writes;
  }

  @Override
  public CompletableFuture<Optional<TokenReservation>> reserve(
      String instance, String budget, long tokens) {
    long reachableTokens = reachableTokens(instance, budget);
    if (reachableTokens < tokens) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    leftTokens.merge(budget, -tokens, Long::sum);
    writes++;
    TokenReservation reservation =
        usedTokens -> {
          leftTokens.merge(budget, tokens - usedTokens, Long::sum);
          writes++;
        };
    return CompletableFuture.completedFuture(Optional.of(reservation));
  }

  @Override
  public void onTopUp(String budget, long tokens) {
    leftTokens.merge(budget, tokens, Long::sum);
  }

  @Override
  public long reachableTokens(String instance, String budget) {
    return fleet.reachesPlatform(fleet.node(instance)) ? leftTokens.getOrDefault(budget, 0L) : 0;
  }
}
