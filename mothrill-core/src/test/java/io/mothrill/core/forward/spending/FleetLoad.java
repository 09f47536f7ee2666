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
 * <p>All callers of two of the teams come to one instance each, those of the others to any.
 */
final class FleetLoad {

  static final int TEAMS = 24;

  private static final int[] INSTANCES_BY_DOMAIN = {18, 20, 18, 23};
  private static final int ALL_INSTANCES = Arrays.stream(INSTANCES_BY_DOMAIN).sum();
  private static final int REQUESTS_PER_S = 375;
  private static final long MS_PER_S = 1_000;
  private static final long WRITE_MS = 5;

  /** A message that two busy instances handle beside their requests. */
  private static final long PEER_MS = 6;

  private static final long START_SPREAD_MS = 300;
  private static final long BEFORE_TRAFFIC_MS = 18_000;

  /** Teams whose callers all come to one instance, and that instance. */
  private static final int[][] BOUND_TEAMS = {{1, 20}, {5, 70}};

  /** The engine reads the prompt in the other half of the time that callers hope for. */
  private static final int PART_OF_AIM = 2;

  /** A request is owed if it fits into so much of the budget at its most. */
  private static final double OWED_SHARE = 0.97;

  /** One kind of request, with the logarithm of sizes spread normally. */
  private record Kind(
      int perS, double medianTokens, double spread, long aimMs, long tookMs, double usedShare) {

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

  final SpendingWorld world;
  private final List<String> teams = UNEVEN.names();
  private final List<Long> budgets;
  private final List<SpendingWorld.Member> members = new ArrayList<>();
  private final long[] usedTokens = new long[TEAMS];
  private final long[] reservedTokens = new long[TEAMS];
  private final List<Request> requests = new ArrayList<>();
  private double due;
  private boolean cut;
  private int hotTeams;
  private double hotShare;

  /**
   * Creates the load.
   *
   * @param budgetS how many seconds of the load the budgets pay for
   * @param seed the seed of all that is drawn
   */
  FleetLoad(long budgetS, long seed) {
    this.budgets = budgets(budgetS);
    this.world = new SpendingWorld(teams, budgets, seed);
  }

  /** One request of a caller, at its first instance or at a second one. */
  private static final class Request {
    private final Kind kind;
    private final int team;
    private final long tokens;
    private final boolean owed;
    private final long askedMs;
    private final List<Long> refusedAfterMs = new ArrayList<>();
    private boolean servedInTime;

    Request(Kind kind, int team, long tokens, boolean owed, long askedMs) {
      this.kind = kind;
      this.team = team;
      this.tokens = tokens;
      this.owed = owed;
      this.askedMs = askedMs;
    }
  }

  private static List<Long> budgets(long seconds) {
    double tokensPerS = KINDS.stream().mapToDouble(Kind::tokensPerS).sum();
    return UNEVEN.budgets(seconds * tokensPerS);
  }

  /** Starts all instances, before any caller comes. */
  void start() {
    world.writeOneByOne(WRITE_MS);
    world.delayPeers(PEER_MS);
    startAll();
    world.timers.advanceMs(BEFORE_TRAFFIC_MS);
  }

  private void startAll() {
    members.clear();
    for (int domain = 0; domain < INSTANCES_BY_DOMAIN.length; domain++) {
      for (int place = 0; place < INSTANCES_BY_DOMAIN[domain]; place++) {
        int started = members.size();
        world.timers.advanceMs(
            START_SPREAD_MS * (started + 1) / ALL_INSTANCES
                - START_SPREAD_MS * started / ALL_INSTANCES);
        SpendingWorld.Member member = world.start("domain" + domain + "-" + place);
        member.cutFromTable = cut;
        members.add(member);
      }
    }
  }

  /** Cuts all instances off from the store. */
  void cut() {
    cut = true;
    members.forEach(member -> member.cutFromTable = true);
  }

  /** Ends the cut. */
  void heal() {
    cut = false;
    members.forEach(member -> member.cutFromTable = false);
  }

  /** Ends all processes at the same moment and starts their successors later. */
  void losePower(long darkMs) {
    members.forEach(SpendingWorld.Member::kill);
    world.timers.advanceMs(darkMs);
    startAll();
  }

  /** Lets callers come for a while. */
  void serve(double seconds) {
    for (long ms = 0; ms < seconds * MS_PER_S; ms++) {
      world.timers.advanceMs(1);
      for (due += (double) REQUESTS_PER_S / MS_PER_S; due >= 1; due--) {
        ask();
      }
    }
  }

  /** Forgets the requests so far. */
  void countAnew() {
    requests.clear();
  }

  private void ask() {
    Kind kind = UnevenTeams.drawKind(world.random, KINDS, Kind::perS);
    int team = drawTeam();
    long tokens = kind.draw(world.random);
    Request request = new Request(kind, team, tokens, isOwed(team, tokens), world.timers.nowMs());
    requests.add(request);
    ask(request, true);
  }

  private void ask(Request request, boolean mayComeBack) {
    memberFor(request.team).ifPresent(member -> ask(request, member, mayComeBack));
  }

  private void ask(Request request, SpendingWorld.Member member, boolean mayComeBack) {
    long triedMs = world.timers.nowMs();
    var unused =
        member
            .reserve(teams.get(request.team), request.tokens)
            .whenComplete(
                (reservation, error) -> {
                  if (member.dead) {
                    return;
                  }
                  if (error == null) {
                    onReserved(request, member, reservation);
                  } else {
                    request.refusedAfterMs.add(world.timers.nowMs() - triedMs);
                    onRefused(request, (SpendingException) Failures.unwrap(error), mayComeBack);
                  }
                });
  }

  private boolean isOwed(int team, long tokens) {
    return usedTokens[team] + reservedTokens[team] + tokens <= OWED_SHARE * budgets.get(team);
  }

  /** From now on a part of all requests comes from the largest teams alone. */
  void heat(int teamCount, double share) {
    hotTeams = teamCount;
    hotShare = share;
  }

  private int drawTeam() {
    return world.random.nextDouble() < hotShare
        ? world.random.nextInt(hotTeams)
        : UNEVEN.draw(world.random);
  }

  /** Empty if the instance has not started yet. */
  private Optional<SpendingWorld.Member> memberFor(int team) {
    int place =
        Arrays.stream(BOUND_TEAMS)
            .filter(bound -> bound[0] == team)
            .mapToInt(bound -> bound[1])
            .findFirst()
            .orElseGet(() -> world.random.nextInt(ALL_INSTANCES));
    return place < members.size() ? Optional.of(members.get(place)) : Optional.empty();
  }

  private void onReserved(
      Request request, SpendingWorld.Member member, SpendingReservation reservation) {
    long tookMs = world.timers.nowMs() - request.askedMs;
    request.servedInTime = tookMs <= request.kind.aimMs() / PART_OF_AIM;
    long used = Math.round(request.tokens * request.kind.usedShare());
    reservedTokens[request.team] += request.tokens;
    world.timers.after(
        request.kind.tookMs(),
        () -> {
          reservedTokens[request.team] -= request.tokens;
          usedTokens[request.team] += used;
        });
    member.after(request.kind.tookMs(), () -> reservation.settle(used));
  }

  private void onRefused(Request request, SpendingException refusal, boolean mayComeBack) {
    if (mayComeBack && !refusal.isSpent()) {
      world.timers.after(refusal.retryAfterMs(), () -> ask(request, false));
    }
  }

  /** Says what part of the requests that are owed had their tokens in time, in a hundred. */
  double inTimePercent() {
    return percent(requests);
  }

  /** The same for one team; nothing owed counts as all in time. */
  double inTimePercent(int team) {
    return percent(requests.stream().filter(request -> request.team == team).toList());
  }

  private static double percent(List<Request> some) {
    List<Request> owed = some.stream().filter(request -> request.owed).toList();
    long inTime = owed.stream().filter(request -> request.servedInTime).count();
    return owed.isEmpty() ? 100 : 100.0 * inTime / owed.size();
  }

  /** Counts the requests that are owed. */
  long owedCount() {
    return requests.stream().filter(request -> request.owed).count();
  }

  /** Says what part of the requests that are owed were refused at least once, in a hundred. */
  double refusedPercent() {
    long refused =
        requests.stream()
            .filter(request -> request.owed && !request.refusedAfterMs.isEmpty())
            .count();
    return 100.0 * refused / Math.max(1, owedCount());
  }

  /** Counts refusals. */
  int refusalCount() {
    return refusalsMs().size();
  }

  /** Gives how long callers waited for their refusals, for so many in a hundred at the most. */
  long refusedAfterMs(int percentile) {
    List<Long> refusals = refusalsMs();
    return refusals.isEmpty() ? 0 : refusals.get((refusals.size() - 1) * percentile / 100);
  }

  private List<Long> refusalsMs() {
    return requests.stream().flatMap(request -> request.refusedAfterMs.stream()).sorted().toList();
  }

  /** Gives what part of all budgets counts as spent in the table, in a hundred. */
  double countedPercent() {
    var rows = world.table.scan(SpendingTables.TABLE, "", "", SpendingTables.MAX_ROWS).join();
    SpendingTables.Contents contents = SpendingTables.Contents.of(rows, 0);
    long counted = teams.stream().mapToLong(contents::spentTokens).sum();
    return 100.0 * counted / budgets.stream().mapToLong(Long::longValue).sum();
  }

  @Override
  public String toString() {
    String worst =
        IntStream.range(0, TEAMS)
            .filter(team -> inTimePercent(team) < 90)
            .mapToObj(team -> "%d: %.0f".formatted(team, inTimePercent(team)))
            .collect(Collectors.joining(", "));
    return ("asked %d, owed %d, in time %.1f%%, refused %.1f%%, %d refusals after %d and %d ms, "
            + "counted %.1f%%, writes %d, conflicts %d, teams below 90: %s")
        .formatted(
            requests.size(),
            owedCount(),
            inTimePercent(),
            refusedPercent(),
            refusalCount(),
            refusedAfterMs(50),
            refusedAfterMs(90),
            countedPercent(),
            world.writeCount(),
            world.conflictCount(),
            worst);
  }
}
