package io.mothrill.core.request;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.request.error.RefusedException;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.resource.TeamSpec;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.function.Supplier;

/**
 * Authenticates a request, resolves its service and budget, and calculates the tokens to reserve.
 */
public final class CallPlanner {

  private final PublishedValue<ConfigSnapshot> config;
  private final Timers timers;
  private final String incarnation;
  private final Supplier<String> ids;

  /**
   * Creates the planner.
   *
   * @param config the current configuration
   * @param timers the clock and timer service
   * @param incarnation this incarnation, which is part of generated keys
   * @param ids supplies ids that are unique across all instances
   */
  public CallPlanner(
      PublishedValue<ConfigSnapshot> config,
      Timers timers,
      String incarnation,
      Supplier<String> ids) {
    this.config = config;
    this.timers = timers;
    this.incarnation = incarnation;
    this.ids = ids;
  }

  /**
   * Creates the plan of a request.
   *
   * @param request the request
   * @return the plan
   * @throws RefusedException when the request cannot be served
   */
  public CallPlan plan(CallRequest request) {
    ConfigSnapshot snapshot = config.read();
    if (snapshot.revision() == 0) {
      throw new RefusedException(Refusal.notReady());
    }
    String team = authenticate(snapshot, request.bearer());
    ServiceSpec service = serviceOf(snapshot, request);
    String budget = budgetOf(snapshot, team, request);
    String requestId = ids.get();
    long maxOutputTokens =
        Math.min(
            request.maxOutputTokens().orElse(service.maxOutputTokens()), service.maxOutputTokens());
    boolean model = service.type() == ServiceType.MODEL;
    return new CallPlan(
        request,
        service,
        budget,
        new RequestKey(
            team,
            request.idempotencyKey().orElseGet(() -> GeneratedKey.of(incarnation, requestId))),
        request.idempotencyKey().isPresent(),
        requestId,
        request.priority().orElse(service.priority()),
        service.repeatable() && !request.unrepeatable(),
        maxOutputTokens,
        model ? request.maxPromptTokens() + maxOutputTokens : service.tokensPerCall(),
        timers.nowMs() + service.timeoutMs());
  }

  /**
   * Returns the team to which an API key belongs.
   *
   * @param snapshot the configuration
   * @param bearer the API key, as {@code team.secret}
   * @return the team's name
   * @throws RefusedException when the key is not valid
   */
  public static String authenticate(ConfigSnapshot snapshot, String bearer) {
    int dot = bearer.indexOf('.');
    String team = dot > 0 ? bearer.substring(0, dot) : "";
    String secret = bearer.substring(dot + 1);
    boolean valid =
        snapshot.team(team).map(TeamSpec::keys).orElse(List.of()).stream()
            .anyMatch(key -> key.matches(secret));
    if (!valid) {
      throw new RefusedException(Refusal.invalidApiKey());
    }
    return team;
  }

  private static ServiceSpec serviceOf(ConfigSnapshot snapshot, CallRequest request) {
    return snapshot
        .service(request.service())
        .filter(service -> service.type() == request.type())
        .orElseThrow(() -> new RefusedException(Refusal.unknownService(request.service())));
  }

  private static String budgetOf(ConfigSnapshot snapshot, String team, CallRequest request) {
    return snapshot.budgets(team, request.service()).stream()
        .filter(budget -> request.budget().isEmpty() || request.budget().get().equals(budget))
        .findFirst()
        .orElseThrow(() -> new RefusedException(Refusal.noBudget(request.service())));
  }
}
