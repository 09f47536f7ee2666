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

/**
 * What this instance has spent of each team's budget, and the calculation of the row that records
 * it.
 */
final class SpendingState {

  /** Age of a row after which its instance counts as stopped or partitioned. */
  private static final long INACTIVE_AFTER_MS = 12_000;

  /** Minimum interval of a demand measurement; shorter intervals are not meaningful. */
  private static final long MIN_DEMAND_INTERVAL_MS = 500;

  /**
   * Average number of instances that may follow small changes of their targets in one second. Each
   * of them changes the rows of most teams, which takes 15 to 25 ms from read to write, so few of
   * them conflict.
   */
  private static final double REBALANCES_PER_S = 12;

  /** Maximum age at which the rows of teams prove that no tokens can be obtained. */
  private static final long MAX_TEAM_ROWS_AGE_MS = 500;

  /**
   * Share of a budget beyond which an instance that is not a holder has too much in a large fleet.
   */
  private static final double MAX_NON_HOLDER_SHARE = 0.02;

  /**
   * Probability of rebalancing for an instance that holds too much of a team's budget without being
   * a holder.
   */
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
   * @param wantedTokens the tokens that requests are waiting for and that the row obtains, by team
   * @param transaction writes the row, and the rows of teams whose share changes
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

  /** Returns the holders of each team. */
  TeamHolders holders() {
    return holders;
  }

  long demandTokensPerS(String team) {
    return demandOf(team).peakTokensPerS();
  }

  /** Returns where a team's tokens are, according to the last read. */
  TeamTokens tokensOf(TeamPlan team) {
    return TeamTokens.of(snapshot, ownKey, team, storeClock.nowMs());
  }

  /**
   * Checks whether a renewal would be futile: according to the last read of the teams' rows,
   * neither this instance nor the table had a useful part of a request. A team that was added by a
   * newer plan has no row yet and proves nothing.
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

  /** Checks whether instances that are not holders of a team hold enough for a request. */
  boolean isHeldOutsideHolders(String team, long tokens) {
    return snapshot.heldOutsideHolders(ownKey, team, holders.holderIds(team)) >= tokens;
  }

  /**
   * Returns the tokens that counted as spent at the start although the row did not show them as
   * spent.
   */
  long lostTokens() {
    return lostTokens;
  }

  ShortageLog shortages() {
    return shortages;
  }

  /** Returns the instances to ask for a loan. */
  List<InstanceRecord> lenders(String team) {
    return snapshot.lenders(ownKey, team, holders.holderIds(team), random);
  }

  /** Returns the tokens that requests are waiting for, which the next row will request. */
  WantedTokens wanted() {
    return wanted;
  }

  /**
   * Returns a team's remaining tokens according to the last read, less what this instance has spent
   * since.
   */
  long remainingTokens(TeamPlan team, TeamSpending spending) {
    String name = team.name();
    long peersSpentTokens =
        snapshot.spentTokens(name) - snapshot.instance(ownKey).grantOf(name).spentTokens();
    return team.prepaidTokens().orElse(0) - peersSpentTokens - spending.spentTokens();
  }

  /**
   * Decides at random whether this instance may follow small changes of its targets.
   *
   * <p>The first row of a process transfers nothing: otherwise all instances of a fleet that starts
   * would change the same rows at once.
   */
  boolean drawRebalance() {
    double probability =
        holdsExcess()
            ? EXCESS_REBALANCE_PROBABILITY
            : REBALANCES_PER_S / Math.max(1, instanceCount);
    return initialized && random.nextDouble() < probability;
  }

  /**
   * Checks whether this instance holds a considerable part of a team's budget without being its
   * holder.
   *
   * <p>Instances that are not holders are not asked for tokens, so what they keep is unavailable to
   * the team.
   */
  private boolean holdsExcess() {
    return instanceCount > GrantCalculator.LARGE_FLEET_INSTANCES
        && teams.keySet().stream()
            .filter(team -> !holders.isHeldBySelf(team))
            .anyMatch(
                team ->
                    heldTokens(team) > MAX_NON_HOLDER_SHARE * prepaidTokens(plan, team).orElse(0));
  }

  /**
   * Checks whether tokens must be transferred for these amounts even if this instance does not
   * rebalance.
   */
  boolean exceedsHeld(Map<String, Long> tokensByTeam) {
    return tokensByTeam.entrySet().stream()
        .anyMatch(entry -> entry.getValue() > heldTokens(entry.getKey()));
  }

  /**
   * Returns the tokens of a team's budget that are held and not spent; some may be released only
   * later.
   */
  long heldTokens(String team) {
    return find(team).map(spending -> spending.limitTokens() - spending.spentTokens()).orElse(0L);
  }

  /** Calculates the next row from the rows just read; spending stays below it from now on. */
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
    Map<String, Long> wantedTokens = wanted.take(wantedAtStart);
    Map<String, TeamSpending.SentGrant> grants = new TreeMap<>();
    ShareChangeSelector changes =
        new ShareChangeSelector(transfers, wantedTokens.keySet(), teams.size(), rotationStart);
    for (Map.Entry<String, TeamSpending> entry : new TreeMap<>(teams).entrySet()) {
      boolean mayChange = changes.mayChange(entry.getKey());
      GrantCalculator.TeamState teamState =
          teamState(
              entry.getKey(),
              entry.getValue(),
              currentPlan,
              newSnapshot,
              peerSpending,
              wantedTokens.getOrDefault(entry.getKey(), 0L),
              transfers);
      grants.put(
          entry.getKey(),
          entry.getValue().propose(spent -> calculator.calculate(teamState, spent, mayChange)));
    }
    rotationStart =
        teams.isEmpty() ? 0 : (rotationStart + ShareChangeSelector.MAX_CHANGES) % teams.size();
    return new Proposal(grants, wantedTokens, transaction(newSnapshot, grants, sentAtStoreMs));
  }

  /**
   * Updates the peers and holders, which change only with a full read. Ranking a hundred instances
   * for dozens of teams with every renewal would take a small instance as much time as its requests
   * do.
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
   * Continues with the most that a previous process on this machine can have spent.
   *
   * <p>That process stayed below its current row and below every row that it had sent, so the row
   * that is read is an upper bound, whether or not a late write replaces it. The first write of
   * this process is conditional on the row being unchanged; if it was replaced, the newer row is
   * more precise.
   *
   * <p>The previous process had ended when this one started, so its bound is taken at that time and
   * not at the time of the read: a runtime takes most of a second to start, in which a bound that
   * rises by 300,000 tokens per second over a fleet would lose as many.
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
    PeerSpending.Totals totals = peerSpending.of(team);
    return new GrantCalculator.TeamState(
        prepaid.orElse(0),
        newSnapshot.grantedTokens(team),
        newSnapshot.instance(ownKey).grantOf(team).limitTokens(),
        totals.spentTokens(),
        totals.demandTokensPerS(),
        peerSpending.activeCount(),
        totals.inactiveLimitTokens(),
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
    Map<Boolean, List<InstanceSpending>> rowsByActive =
        newSnapshot
            .peers(ownKey)
            .collect(Collectors.partitioningBy(row -> isActive(newSnapshot, row)));
    return new PeerSpending(rowsByActive.get(true), rowsByActive.get(false), storeClock.nowMs());
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

  /** Called when a row was written. */
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
   * Called when a row was definitely not written.
   *
   * <p>Another instance may have changed a team's row in between. The wanted tokens are requested
   * again: otherwise the next attempt would not include them, and the waiting requests would be
   * refused although the table has tokens.
   */
  void retract(Proposal proposal) {
    proposal.wantedTokens().keySet().forEach(shortages::onConflict);
    proposal.wantedTokens().forEach(wanted::add);
    proposal.grants().forEach((name, grant) -> teams.get(name).retract(grant));
  }
}
