package io.mothrill.core.forward.spending;

import io.mothrill.core.error.Failures;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Seventy-nine instances in four failure domains, with the callers of two dozen teams.
 *
 * <p>All callers of two of the teams use one instance each; those of the other teams use any
 * instance.
 */
final class FleetLoad {

  static final int TEAMS = 24;

  private static final int[] INSTANCES_BY_DOMAIN = {18, 20, 18, 23};
  private static final int ALL_INSTANCES = Arrays.stream(INSTANCES_BY_DOMAIN).sum();
  private static final int REQUESTS_PER_S = 375;
  private static final long MS_PER_S = 1_000;
  private static final long WRITE_MS = 5;

  /** Delay of a message between two instances that are busy with requests. */
  private static final long PEER_MS = 6;

  private static final long START_SPREAD_MS = 300;
  private static final long BEFORE_TRAFFIC_MS = 18_000;

  /** Teams whose callers all use one instance, and that instance. */
  private static final int[][] PINNED_TEAMS = {{1, 20}, {5, 70}};

  /** The engine's prefill takes the other half of the target latency. */
  private static final int TARGET_LATENCY_DIVISOR = 2;

  /** A request must be served if at most this share of the budget is used with it. */
  private static final double ENTITLED_SHARE = 0.97;

  /** One kind of request, with log-normally distributed sizes. */
  private record Kind(
      int perS,
      double medianTokens,
      double spread,
      long targetLatencyMs,
      long tookMs,
      double usedShare) {

    long draw(Random random) {
      return Math.round(medianTokens * Math.exp(spread * random.nextGaussian()));
    }

    double tokensPerS() {
      return perS * usedShare * medianTokens * Math.exp(spread * spread / 2);
    }
  }

  private static final List<Kind> KINDS =
      List.of(
          new Kind(106, 11_000, 0.6, 500, 1_500, 0.97),
          new Kind(46, 1_050, 0.5, 300, 1_000, 0.75),
          new Kind(223, 2_200, 0.5, 300, 150, 0.98));

  private static final UnevenTeams UNEVEN = new UnevenTeams(TEAMS);

  final SpendingSimulation simulation;
  private final List<String> teams = UNEVEN.names();
  private final List<Long> budgets;
  private final List<SpendingSimulation.SimulatedInstance> instances = new ArrayList<>();
  private final long[] usedTokens = new long[TEAMS];
  private final long[] reservedTokens = new long[TEAMS];
  private final List<Request> requests = new ArrayList<>();
  private double dueRequests;
  private boolean storeUnreachable;
  private int hotTeams;
  private double hotShare;

  /**
   * Creates the load.
   *
   * @param budgetS the number of seconds of the load that the budgets pay for
   * @param seed the seed of all random values
   */
  FleetLoad(long budgetS, long seed) {
    this.budgets = budgets(budgetS);
    this.simulation = new SpendingSimulation(teams, budgets, seed);
  }

  /** One request of a caller, at its first instance or at a second one after a refusal. */
  private static final class Request {
    private final Kind kind;
    private final int team;
    private final long tokens;
    private final boolean entitled;
    private final long sentMs;
    private final List<Long> refusedAfterMs = new ArrayList<>();
    private boolean servedInTime;

    Request(Kind kind, int team, long tokens, boolean entitled, long sentMs) {
      this.kind = kind;
      this.team = team;
      this.tokens = tokens;
      this.entitled = entitled;
      this.sentMs = sentMs;
    }
  }

  private static List<Long> budgets(long seconds) {
    double tokensPerS = KINDS.stream().mapToDouble(Kind::tokensPerS).sum();
    return UNEVEN.budgets(seconds * tokensPerS);
  }

  /** Starts all instances, before the first request. */
  void start() {
    simulation.serializeWrites(WRITE_MS);
    simulation.delayPeers(PEER_MS);
    startAll();
    simulation.timers.advanceMs(BEFORE_TRAFFIC_MS);
  }

  private void startAll() {
    instances.clear();
    for (int domain = 0; domain < INSTANCES_BY_DOMAIN.length; domain++) {
      for (int place = 0; place < INSTANCES_BY_DOMAIN[domain]; place++) {
        int started = instances.size();
        simulation.timers.advanceMs(
            START_SPREAD_MS * (started + 1) / ALL_INSTANCES
                - START_SPREAD_MS * started / ALL_INSTANCES);
        SpendingSimulation.SimulatedInstance instance =
            simulation.start("domain" + domain + "-" + place);
        instance.tableUnreachable = storeUnreachable;
        instances.add(instance);
      }
    }
  }

  /** Makes the store unreachable for all instances. */
  void disconnectStore() {
    storeUnreachable = true;
    instances.forEach(instance -> instance.tableUnreachable = true);
  }

  /** Makes the store reachable again. */
  void reconnectStore() {
    storeUnreachable = false;
    instances.forEach(instance -> instance.tableUnreachable = false);
  }

  /** Ends all processes at the same moment and starts their successors later. */
  void losePower(long outageMs) {
    instances.forEach(SpendingSimulation.SimulatedInstance::kill);
    simulation.timers.advanceMs(outageMs);
    startAll();
  }

  /** Sends requests for a time. */
  void sendRequests(double seconds) {
    for (long ms = 0; ms < seconds * MS_PER_S; ms++) {
      simulation.timers.advanceMs(1);
      for (dueRequests += (double) REQUESTS_PER_S / MS_PER_S; dueRequests >= 1; dueRequests--) {
        sendRequest();
      }
    }
  }

  /** Discards the requests so far. */
  void resetCounts() {
    requests.clear();
  }

  private void sendRequest() {
    Kind kind = UnevenTeams.drawKind(simulation.random, KINDS, Kind::perS);
    int team = drawTeam();
    long tokens = kind.draw(simulation.random);
    Request request =
        new Request(kind, team, tokens, isEntitled(team, tokens), simulation.timers.nowMs());
    requests.add(request);
    sendRequest(request, true);
  }

  private void sendRequest(Request request, boolean mayRetry) {
    instanceFor(request.team).ifPresent(instance -> sendRequest(request, instance, mayRetry));
  }

  private void sendRequest(
      Request request, SpendingSimulation.SimulatedInstance instance, boolean mayRetry) {
    long attemptedMs = simulation.timers.nowMs();
    var unused =
        instance
            .reserve(teams.get(request.team), request.tokens)
            .whenComplete(
                (reservation, error) -> {
                  if (instance.killed) {
                    return;
                  }
                  if (error == null) {
                    onReserved(request, instance, reservation);
                  } else {
                    request.refusedAfterMs.add(simulation.timers.nowMs() - attemptedMs);
                    onRefused(request, (SpendingException) Failures.unwrap(error), mayRetry);
                  }
                });
  }

  private boolean isEntitled(int team, long tokens) {
    return usedTokens[team] + reservedTokens[team] + tokens <= ENTITLED_SHARE * budgets.get(team);
  }

  /** Makes a share of all requests come from the largest teams only, from now on. */
  void concentrateLoad(int teamCount, double share) {
    hotTeams = teamCount;
    hotShare = share;
  }

  private int drawTeam() {
    return simulation.random.nextDouble() < hotShare
        ? simulation.random.nextInt(hotTeams)
        : UNEVEN.draw(simulation.random);
  }

  /** Draws the instance for a request; empty if it has not started yet. */
  private Optional<SpendingSimulation.SimulatedInstance> instanceFor(int team) {
    int place =
        Arrays.stream(PINNED_TEAMS)
            .filter(pinned -> pinned[0] == team)
            .mapToInt(pinned -> pinned[1])
            .findFirst()
            .orElseGet(() -> simulation.random.nextInt(ALL_INSTANCES));
    return place < instances.size() ? Optional.of(instances.get(place)) : Optional.empty();
  }

  private void onReserved(
      Request request,
      SpendingSimulation.SimulatedInstance instance,
      SpendingReservation reservation) {
    long tookMs = simulation.timers.nowMs() - request.sentMs;
    request.servedInTime = tookMs <= request.kind.targetLatencyMs() / TARGET_LATENCY_DIVISOR;
    long used = Math.round(request.tokens * request.kind.usedShare());
    reservedTokens[request.team] += request.tokens;
    simulation.timers.after(
        request.kind.tookMs(),
        () -> {
          reservedTokens[request.team] -= request.tokens;
          usedTokens[request.team] += used;
        });
    instance.after(request.kind.tookMs(), () -> reservation.settle(used));
  }

  private void onRefused(Request request, SpendingException refusal, boolean mayRetry) {
    if (mayRetry && !refusal.isBudgetSpent()) {
      simulation.timers.after(refusal.retryAfterMs(), () -> sendRequest(request, false));
    }
  }

  /** Returns the percentage of requests that must be served and had their tokens in time. */
  double inTimePercent() {
    return percent(requests);
  }

  /** Returns the same percentage for one team, or 100 if it has no such requests. */
  double inTimePercent(int team) {
    return percent(requests.stream().filter(request -> request.team == team).toList());
  }

  private static double percent(List<Request> some) {
    List<Request> entitled = some.stream().filter(request -> request.entitled).toList();
    long inTime = entitled.stream().filter(request -> request.servedInTime).count();
    return entitled.isEmpty() ? 100 : 100.0 * inTime / entitled.size();
  }

  /** Returns the number of requests that must be served. */
  long entitledCount() {
    return requests.stream().filter(request -> request.entitled).count();
  }

  /** Returns the percentage of requests that must be served and were refused at least once. */
  double refusedPercent() {
    long refused =
        requests.stream()
            .filter(request -> request.entitled && !request.refusedAfterMs.isEmpty())
            .count();
    return 100.0 * refused / Math.max(1, entitledCount());
  }

  /** Returns the number of refusals. */
  int refusalCount() {
    return refusalsMs().size();
  }

  /** Returns a percentile of the time after which requests were refused. */
  long refusedAfterMs(int percentile) {
    List<Long> refusals = refusalsMs();
    return refusals.isEmpty() ? 0 : refusals.get((refusals.size() - 1) * percentile / 100);
  }

  private List<Long> refusalsMs() {
    return requests.stream().flatMap(request -> request.refusedAfterMs.stream()).sorted().toList();
  }

  /** Returns the percentage of all budgets that counts as spent in the table. */
  double spentInTablePercent() {
    var rows = simulation.table.scan(SpendingTable.TABLE, "", "", SpendingTable.MAX_ROWS).join();
    SpendingTable.Snapshot snapshot = SpendingTable.Snapshot.of(rows, 0);
    long spentTokens = teams.stream().mapToLong(snapshot::spentTokens).sum();
    return 100.0 * spentTokens / budgets.stream().mapToLong(Long::longValue).sum();
  }

  @Override
  public String toString() {
    String worst =
        IntStream.range(0, TEAMS)
            .filter(team -> inTimePercent(team) < 90)
            .mapToObj(team -> "%d: %.0f".formatted(team, inTimePercent(team)))
            .collect(Collectors.joining(", "));
    return ("asked %d, entitled %d, in time %.1f%%, refused %.1f%%, %d refusals after %d and "
            + "%d ms, counted %.1f%%, writes %d, conflicts %d, teams below 90: %s")
        .formatted(
            requests.size(),
            entitledCount(),
            inTimePercent(),
            refusedPercent(),
            refusalCount(),
            refusedAfterMs(50),
            refusedAfterMs(90),
            spentInTablePercent(),
            simulation.writeCount(),
            simulation.conflictCount(),
            worst);
  }
}
