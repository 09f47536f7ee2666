package io.mothrill.wire.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.budget.BudgetAccount;
import io.mothrill.core.budget.BudgetController;
import io.mothrill.core.budget.BudgetRow;
import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.routing.Router;
import io.mothrill.core.routing.UpstreamRegistry;
import io.mothrill.core.routing.UpstreamState;
import io.mothrill.wire.json.Json;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Describes the state of a resource as seen by the platform and this instance. */
public final class ResourceStatus {

  private final TableService table;
  private final BudgetController budgets;
  private final UpstreamRegistry upstreams;
  private final Router router;

  /**
   * Creates the status provider.
   *
   * @param table the platform's table
   * @param budgets the budgets of this instance
   * @param upstreams the upstreams as this instance sees them
   * @param router the request queues of this instance
   */
  public ResourceStatus(
      TableService table, BudgetController budgets, UpstreamRegistry upstreams, Router router) {
    this.table = table;
    this.budgets = budgets;
    this.upstreams = upstreams;
    this.router = router;
  }

  /**
   * Describes a resource.
   *
   * @param resource the resource
   * @return its status; without the platform's part while the platform does not respond
   */
  public CompletableFuture<ObjectNode> of(Resource resource) {
    return switch (resource.kind()) {
      case BUDGET -> ofBudget(resource.name());
      case UPSTREAM -> CompletableFuture.completedFuture(ofUpstream(resource.name()));
      case SERVICE -> CompletableFuture.completedFuture(ofService(resource.name()));
      case EVACUATION -> CompletableFuture.completedFuture(ofEvacuation(resource.name()));
      case TEAM -> CompletableFuture.completedFuture(Json.object());
    };
  }

  private CompletableFuture<ObjectNode> ofBudget(String name) {
    ObjectNode node = Json.object();
    budgets.accounts().stream()
        .filter(account -> account.budget().equals(name))
        .findFirst()
        .ifPresent(account -> describe(node, account));
    return table
        .read(List.of(BudgetTables.budget(name)))
        .handle(
            (rows, error) -> {
              if (error != null) {
                return node.put("platform", "not reachable");
              }
              BudgetRow row = BudgetRow.of(rows.get(0));
              return node.put("paidTokens", row.paidTokens())
                  .put("allottedTokens", row.allottedTokens())
                  .put("freeTokens", row.freeTokens());
            });
  }

  private static void describe(ObjectNode node, BudgetAccount account) {
    node.put("availableHereTokens", account.availableTokens());
    node.put("tokensPerSecondHere", Math.round(account.ratePerSecond()));
  }

  private ObjectNode ofUpstream(String name) {
    ObjectNode node = Json.object();
    upstreams.find(name).ifPresent(state -> describeUpstream(node, state));
    return node;
  }

  /**
   * Reports the requests still in flight in the domain, so that operators see when it has been
   * evacuated.
   */
  private ObjectNode ofEvacuation(String domain) {
    List<UpstreamState> there =
        upstreams.all().stream()
            .filter(upstream -> upstream.spec().domain().equals(domain))
            .toList();
    return Json.object()
        .put("upstreams", there.size())
        .put("inFlightHere", there.stream().mapToInt(UpstreamState::inFlight).sum());
  }

  private static void describeUpstream(ObjectNode node, UpstreamState state) {
    node.put("state", stateOf(state));
    node.put("inFlightHere", state.inFlight());
    state
        .lastReport()
        .ifPresent(
            report ->
                node.put("reportedRunning", report.running())
                    .put("reportedQueued", report.queued()));
  }

  private static String stateOf(UpstreamState state) {
    if (state.isLeaving()) {
      return "leaving";
    }
    return state.isEvacuated() ? "evacuated" : "serving";
  }

  private ObjectNode ofService(String name) {
    return Json.object()
        .put("upstreams", upstreams.of(name).size())
        .put("urgentWaitingHere", router.waiting(name, Priority.URGENT))
        .put("batchWaitingHere", router.waiting(name, Priority.BATCH));
  }
}
