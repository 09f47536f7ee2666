package io.mothrill.lab.experiment;

import io.mothrill.core.budget.BillPart;
import io.mothrill.core.budget.BudgetRow;
import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.budget.Reservation;
import io.mothrill.lab.fleet.Fleet;
import io.mothrill.lab.fleet.FleetNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The policy of mothrill: allotments per instance, slices and loans between instances. */
final class AllotmentPolicy implements SpendPolicy {

  private final Fleet fleet;
  private long runs;

  AllotmentPolicy(Fleet fleet) {
    this.fleet = fleet;
  }

  @Override
  public CompletableFuture<Optional<TokenReservation>> reserve(
      String instance, String budget, long tokens) {
    FleetNode node = fleet.node(instance);
    return node.node()
        .budgets()
        .account(budget)
        .reserve(tokens)
        .handle((reservation, error) -> Optional.ofNullable(reservation))
        .thenApply(found -> found.map(reservation -> toTokenReservation(node, reservation)));
  }

  private TokenReservation toTokenReservation(FleetNode node, Reservation reservation) {
    String run = "run-" + runs++;
    return usedTokens -> {
      List<BillPart> parts = reservation.settle(usedTokens);
      parts.forEach(
          part -> {
            var unused =
                node.node()
                    .budgets()
                    .bills()
                    .add(part.allotment(), new LedgerEntry(run, "team/" + run, part.tokens()));
          });
    };
  }

  @Override
  public void onTopUp(String budget, long tokens) {
    // Nothing to do: instances read the top-up from the table.
  }

  @Override
  public long reachableTokens(String instance, String budget) {
    FleetNode from = fleet.node(instance);
    List<FleetNode> reachableNodes =
        fleet.nodes().stream()
            .filter(node -> !node.isKilled())
            .filter(node -> fleet.reaches(from, node))
            .toList();
    long heldTokens =
        reachableNodes.stream()
            .mapToLong(node -> node.node().budgets().account(budget).availableTokens())
            .sum();
    boolean platform = reachableNodes.stream().anyMatch(fleet::reachesPlatform);
    return heldTokens + (platform ? freeTokens(budget) : 0);
  }

  private long freeTokens(String budget) {
    return BudgetRow.of(fleet.readBypassingFaults(BudgetTables.budget(budget))).freeTokens();
  }
}
