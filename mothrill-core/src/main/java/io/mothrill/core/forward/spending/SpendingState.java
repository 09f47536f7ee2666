package io.mothrill.core.forward.spending;

import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/** What this instance has spent of each team's budget, and the row that says so in the table. */
final class SpendingState {

  /** A row that was not renewed for this long belongs to an instance that is gone or cut off. */
  private static final long INACTIVE_AFTER_MS = 12_000;

  /** Shorter spans say little about demand. */
  private static final long MIN_DEMAND_INTERVAL_MS = 500;

  /**
   * Instances that may follow small changes of their shares in one second, on average. Each changes
   * the rows of most teams, which takes 15 to 25 ms from reading to writing, so few of them meet.
   */
  private static final double REBALANCES_PER_S = 12;

  /** Rows of teams that were read so long ago still show that there is nothing to get. */
  private static final long MAX_TEAM_ROWS_AGE_MS = 500;

  /** Part of a budget that only its holders have in a large fleet. */
  private static final double MAX_NON_HOLDER_SHARE = 0.02;

  /** Odds of a turn for an instance that has more of a team though it is no holder. */
  private static final double EXCESS_REBALANCE_PROBABILITY = 0.5;

  private final InstanceRecord self;
  private final RowKey ownKey;
  private final StoreClock storeClock;
  private final Timers timers;
  private final long startedMs;
  private final RandomGenerator random;
  private final GrantCalculator calculator;
  private final ShortageLog shortages;
  private final Map<String, TeamSpending> teams = new ConcurrentHashMap<>();
  private final Map<String, Demand> demands = new ConcurrentHashMap<>();
  private final WantedTokens wanted = new WantedTokens();
  private volatile SpendingTable.Snapshot snapshot = SpendingTable.Snapshot.EMPTY;
  private volatile ForwardingPlan plan = ForwardingPlan.unknown();
  private volatile boolean initialized;
  private volatile long lostTokens;
  private volatile List<InstanceRecord> peers = List.of();
  private long peersReadAtStoreMs = Long.MIN_VALUE;
  private volatile TeamHolders holders;
  private volatile int instanceCount;
  private long demandUpdatedMs;
  private int rotationStart;

  SpendingState(
      InstanceRecord self,
      StoreClock storeClock,
      Timers timers,
      long startedMs,
      RandomGenerator random,
      SharePolicy policy) {
    this.self = self;
    this.ownKey = SpendingTable.instanceKey(self.id());
    this.storeClock = storeClock;
    this.timers = timers;
    this.startedMs = startedMs;
    this.random = random;
    this.calculator = new GrantCalculator(policy);
    this.shortages = new ShortageLog(timers);
    this.demandUpdatedMs = timers.nowMs();
    this.holders = new TeamHolders(self, List.of());
  }

  /**
   * A row that is about to be sent.
   *
   * @param grants the grants in it, by team
   * @param wantedTokens what requests wait for and it brings, by team
   * @param transaction writes it, and the rows of teams whose share changes
   */
  record Proposal(
      Map<String, TeamSpending.SentGrant> grants,
      Map<String, Long> wantedTokens,
      Transaction transaction) {}

  Optional<TeamSpending> find(String team) {
    return Optional.ofNullable(teams.get(team));
  }

  boolean isInitialized() {
    return initialized;
  }

  List<InstanceRecord> peers() {
    return peers;
  }

  int instanceCount() {
    return instanceCount;
  }

  /** Says who has tokens of each team ready. */
  TeamHolders holders() {
    return holders;
  }

  long demandTokensPerS(String team) {
    return demandOf(team).peakTokensPerS();
  }

  /** Gives where a team's tokens are by the last read. */
  TeamTokens tokensOf(TeamPlan team) {
    return TeamTokens.of(snapshot, ownKey, team, storeClock.nowMs());
  }

  /**
   * Says whether a renewal would bring nothing: neither this instance nor the table had a part of a
   * request when the rows of the teams were last read. Of a team that came with a newer plan no row
   * shows anything.
   */
  boolean isKnownInsufficient(String team, long neededTokens) {
    long unassigned = snapshot.unassignedTokens(team, prepaidTokens(plan, team).orElse(0));
    return initialized
        && teams.containsKey(team)
        && storeClock.nowMs() - snapshot.teamsReadAtStoreMs() < MAX_TEAM_ROWS_AGE_MS
        && heldTokens(team) + Math.max(0, unassigned) < neededTokens / TeamSpending.MAX_PARTS;
  }

  private static OptionalLong prepaidTokens(ForwardingPlan plan, String team) {
    return plan.findTeam(team).map(TeamPlan::prepaidTokens).orElse(OptionalLong.empty());
  }

  /** Says whether instances that are no holders of a team have what a request needs. */
  boolean isHeldOutsideHolders(String team, long tokens) {
    return snapshot.heldOutsideHolders(ownKey, team, holders.holderIds(team)) >= tokens;
  }

  /** Gives what counted as spent at the start though the row did not show it as spent. */
  long lostTokens() {
    return lostTokens;
  }

  ShortageLog shortages() {
    return shortages;
  }

  /** Lists whom to ask for a loan. */
  List<InstanceRecord> lenders(String team) {
    return snapshot.lenders(ownKey, team, holders.holderIds(team), random);
  }

  /** Gives what requests wait for, which the next row asks for. */
  WantedTokens wanted() {
    return wanted;
  }

  /** Gives what a team has left by the last read, with what this instance has spent since. */
  long remainingTokens(TeamPlan team, TeamSpending spending) {
    String name = team.name();
    long elsewhere =
        snapshot.spentTokens(name) - snapshot.instance(ownKey).grantOf(name).spentTokens();
    return team.prepaidTokens().orElse(0) - elsewhere - spending.spentTokens();
  }

  /**
   * Draws whether it is this instance's turn to follow small changes of its shares.
   *
   * <p>The first row of a process moves nothing: a whole fleet that starts would change the same
   * rows at once.
   */
  boolean drawRebalance() {
    double probability =
        holdsExcess()
            ? EXCESS_REBALANCE_PROBABILITY
            : REBALANCES_PER_S / Math.max(1, instanceCount);
    return initialized && random.nextDouble() < probability;
  }

  /**
   * Says whether this instance holds a good part of a team's budget in the place of its holders.
   *
   * <p>Nobody asks an instance that is no holder, so what it keeps is out of reach for the team.
   */
  private boolean holdsExcess() {
    return instanceCount > GrantCalculator.LARGE_FLEET_INSTANCES
        && teams.keySet().stream()
            .filter(team -> !holders.isHeldBySelf(team))
            .anyMatch(
                team ->
                    heldTokens(team) > MAX_NON_HOLDER_SHARE * prepaidTokens(plan, team).orElse(0));
  }

  /** Says whether tokens have to move for this, though it is not this instance's turn. */
  boolean exceedsHeld(Map<String, Long> tokensByTeam) {
    return tokensByTeam.entrySet().stream()
        .anyMatch(entry -> entry.getValue() > heldTokens(entry.getKey()));
  }

  /** Gives what is held of a team's budget and not spent yet; some of it may open only later. */
  long heldTokens(String team) {
    return find(team).map(spending -> spending.limitTokens() - spending.spentTokens()).orElse(0L);
  }

  /** Works out the next row from what was just read; spending stays below it from now on. */
  Proposal propose(
      SpendingTable.Snapshot newSnapshot,
      ForwardingPlan currentPlan,
      ShareChangeSelector.AllowedTransfers transfers,
      Map<String, Long> wantedAtStart) {
    snapshot = newSnapshot;
    plan = currentPlan;
    if (!initialized) {
      recoverPreviousProcess(newSnapshot);
    }
    final long sentAtStoreMs = storeClock.nowMs();
    updatePeers(newSnapshot);
    final PeerSpending peerSpending = totalPeerSpending(newSnapshot);
    instanceCount = 1 + peerSpending.activeCount();
    currentPlan.teams().stream()
        .filter(team -> team.prepaidTokens().isPresent())
        .forEach(team -> teams.computeIfAbsent(team.name(), name -> new TeamSpending(timers, 0)));
    updateDemand();
    Map<String, Long> taken = wanted.take(wantedAtStart);
    Map<String, TeamSpending.SentGrant> sent = new TreeMap<>();
    ShareChangeSelector changes =
        new ShareChangeSelector(transfers, taken.keySet(), teams.size(), rotationStart);
    for (Map.Entry<String, TeamSpending> entry : new TreeMap<>(teams).entrySet()) {
      boolean mayChange = changes.mayChange(entry.getKey());
      GrantCalculator.TeamState teamState =
          teamState(
              entry.getKey(),
              entry.getValue(),
              currentPlan,
              newSnapshot,
              peerSpending,
              taken.getOrDefault(entry.getKey(), 0L),
              transfers);
      sent.put(
          entry.getKey(),
          entry.getValue().propose(spent -> calculator.calculate(teamState, spent, mayChange)));
    }
    rotationStart =
        teams.isEmpty() ? 0 : (rotationStart + ShareChangeSelector.MAX_CHANGES) % teams.size();
    return new Proposal(sent, taken, transaction(newSnapshot, sent, sentAtStoreMs));
  }

  /**
   * Notes who else is there, which only a read of all rows can change. Ranking a hundred instances
   * for dozens of teams with every renewal would take a small instance as long as its requests do.
   */
  private void updatePeers(SpendingTable.Snapshot newSnapshot) {
    if (newSnapshot.fullReadAtStoreMs() == peersReadAtStoreMs) {
      return;
    }
    peersReadAtStoreMs = newSnapshot.fullReadAtStoreMs();
    List<InstanceRecord> reachable =
        newSnapshot.reachable(ownKey, row -> isActive(newSnapshot, row));
    if (!reachable.equals(peers)) {
      peers = reachable;
      holders = new TeamHolders(self, reachable);
    }
  }

  /**
   * Continues with what an earlier process on this machine can have spent at the most.
   *
   * <p>That process stayed below its row in force and below any that it had sent, so the row that
   * is read bounds it, whether or not a late write replaces that row. The first own write is made
   * on the condition that the row is as it was read; if it is not, the newer one tells more
   * exactly.
   *
   * <p>It was dead when this process began, so its bound counts up to then and not up to the read:
   * a runtime takes most of a second to start, in which a bound that opens by 300,000 tokens a
   * second over a fleet would burn as many.
   */
  private void recoverPreviousProcess(SpendingTable.Snapshot newSnapshot) {
    InstanceSpending earlier = newSnapshot.instance(ownKey);
    InstanceSpending closed = earlier.closedAt(storeClock.upperBoundMs(startedMs));
    teams.clear();
    closed
        .grants()
        .forEach((team, grant) -> teams.put(team, new TeamSpending(timers, grant.spentTokens())));
    lostTokens =
        total(closed, SpendingGrant::spentTokens) - total(earlier, SpendingGrant::spentTokens);
    Logger.info(
        "spending continues teams={} silentMs={} spentTokens={} countedTokens={} limitTokens={}",
        closed.grants().size(),
        closed.sentAtStoreMs() - earlier.sentAtStoreMs(),
        total(earlier, SpendingGrant::spentTokens),
        total(closed, SpendingGrant::spentTokens),
        total(earlier, SpendingGrant::limitTokens));
  }

  private static long total(InstanceSpending row, ToLongFunction<SpendingGrant> amount) {
    return row.grants().values().stream().mapToLong(amount).sum();
  }

  private Transaction transaction(
      SpendingTable.Snapshot newSnapshot,
      Map<String, TeamSpending.SentGrant> sent,
      long sentAtStoreMs) {
    InstanceSpending before = newSnapshot.instance(ownKey);
    Map<String, SpendingGrant> grants = new TreeMap<>();
    Transaction transaction = new Transaction(List.of(), List.of());
    for (Map.Entry<String, TeamSpending.SentGrant> entry : sent.entrySet()) {
      String team = entry.getKey();
      SpendingGrant grant = entry.getValue().grant();
      grants.put(team, grant);
      long change = grant.limitTokens() - before.grantOf(team).limitTokens();
      if (change != 0) {
        Row teamRow = newSnapshot.row(SpendingTable.teamKey(team));
        long granted = newSnapshot.grantedTokens(team) + change;
        transaction = transaction.and(teamRow, SpendingTable.teamCells(granted));
      }
    }
    InstanceSpending next =
        new InstanceSpending(sentAtStoreMs, self.host(), self.peerPort(), self.domain(), grants);
    return transaction.and(newSnapshot.row(ownKey), next.toCells());
  }

  private GrantCalculator.TeamState teamState(
      String team,
      TeamSpending spending,
      ForwardingPlan currentPlan,
      SpendingTable.Snapshot newSnapshot,
      PeerSpending peerSpending,
      long wanted,
      ShareChangeSelector.AllowedTransfers transfers) {
    OptionalLong prepaid = prepaidTokens(currentPlan, team);
    PeerSpending.Totals sums = peerSpending.of(team);
    return new GrantCalculator.TeamState(
        prepaid.orElse(0),
        newSnapshot.grantedTokens(team),
        newSnapshot.instance(ownKey).grantOf(team).limitTokens(),
        sums.spentTokens(),
        sums.demandTokensPerS(),
        peerSpending.activeCount(),
        sums.inactiveLimitTokens(),
        demandOf(team).peakTokensPerS(),
        demandOf(team).averageTokensPerS(),
        spending.typicalTokens(),
        wanted,
        holders.isHeldBySelf(team),
        holders.holderCount(),
        transfers.rebalance(),
        transfers.returnAll() || prepaid.isEmpty());
  }

  private static boolean isActive(SpendingTable.Snapshot newSnapshot, InstanceSpending row) {
    return newSnapshot.fullReadAtStoreMs() - row.sentAtStoreMs() < INACTIVE_AFTER_MS;
  }

  private PeerSpending totalPeerSpending(SpendingTable.Snapshot newSnapshot) {
    Map<Boolean, List<InstanceSpending>> rowsByInTouch =
        newSnapshot
            .peers(ownKey)
            .collect(Collectors.partitioningBy(row -> isActive(newSnapshot, row)));
    return new PeerSpending(rowsByInTouch.get(true), rowsByInTouch.get(false), storeClock.nowMs());
  }

  private Demand demandOf(String team) {
    return demands.computeIfAbsent(team, name -> new Demand());
  }

  private void updateDemand() {
    long nowMs = timers.nowMs();
    long elapsedMs = nowMs - demandUpdatedMs;
    if (elapsedMs < MIN_DEMAND_INTERVAL_MS) {
      return;
    }
    demandUpdatedMs = nowMs;
    teams.forEach((name, spending) -> demandOf(name).update(spending.takeUsedTokens(), elapsedMs));
  }

  /** Notes that a row was written. */
  void confirm(Proposal proposal) {
    initialized = true;
    proposal.wantedTokens().forEach((name, wanted) -> recordReceived(proposal, name, wanted));
    proposal.grants().forEach((name, grant) -> teams.get(name).confirm(grant));
  }

  private void recordReceived(Proposal proposal, String team, long wanted) {
    Optional.ofNullable(proposal.grants().get(team))
        .map(
            sent ->
                sent.grant().limitTokens() - snapshot.instance(ownKey).grantOf(team).limitTokens())
        .ifPresent(receivedTokens -> shortages.onWritten(team, wanted, receivedTokens));
  }

  /**
   * Notes that a row was surely not written.
   *
   * <p>Failure: another instance has changed a team's row in between. Symptom: the next attempt no
   * longer asks for what requests wait for, and they are refused though the table has room. So what
   * they want is asked for again.
   */
  void retract(Proposal proposal) {
    proposal.wantedTokens().keySet().forEach(shortages::onConflict);
    proposal.wantedTokens().forEach(wanted::add);
    proposal.grants().forEach((name, grant) -> teams.get(name).retract(grant));
  }
}
