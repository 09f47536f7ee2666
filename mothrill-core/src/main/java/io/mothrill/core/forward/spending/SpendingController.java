package io.mothrill.core.forward.spending;

import io.mothrill.core.board.Section;
import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Keeps this instance's row of grants renewed and sets tokens aside under it.
 *
 * <pre>{@code
 * spending.reserve(team, 1_540)
 *     .thenAccept(reservation -> reservation.settle(usedTokens));
 * }</pre>
 */
public final class SpendingController {

  /** How often the row is renewed: a crash loses what was near, which is sized for seconds. */
  private static final long RENEW_MS = 1_000;

  /** Least pause between two renewals that requests ask for, so that several share one. */
  private static final long URGENT_PAUSE_MS = 40;

  /** Waits of one request, for a renewal or for the bound to open, before it is refused. */
  private static final int MAX_WAITS = 3;

  /**
   * Longest of these waits. A renewal takes about 20 ms; coming back after a refusal takes the
   * caller a second or more.
   */
  private static final long MAX_WAIT_MS = 250;

  /** Attempts of one renewal when other instances change the same rows at the same time. */
  private static final int MAX_CONFLICTS = 8;

  /** Longest pause before the next of these attempts; drawn anew for each. */
  private static final int CONFLICT_PAUSE_MS = 40;

  /** A renewal that took longer ago than this shows that the store is out of reach. */
  private static final long IN_TOUCH_MS = 1_400;

  /** A row that was not renewed for this long belongs to an instance that is gone or cut off. */
  private static final long SILENT_MS = 12_000;

  /** A loan is for so many requests like the one that needs it, so that few loans are needed. */
  private static final long BORROW_REQUESTS = 3;

  /** A loan covers so many seconds of the demand here. */
  private static final long BORROW_S = 2;

  /** When to come back if other instances have to hand tokens back first. */
  private static final long REBALANCED_MS = 1_200;

  /** Longest wait that is told to a caller. */
  private static final long MAX_RETRY_AFTER_MS = 3_000;

  private final TableService table;
  private final StoreClock storeClock;
  private final Section<ForwardingPlan> plan;
  private final Timers timers;
  private final RandomGenerator random;
  private final GrantShaper shaper;
  private final InstanceRecord self;
  private final RowKey ownKey;
  private final SpendingLoans loans;
  private final Map<String, TeamSpending> teams = new ConcurrentHashMap<>();
  private final Map<String, Demand> demands = new ConcurrentHashMap<>();
  private final Map<String, Long> wantedTokens = new ConcurrentHashMap<>();
  private final AtomicReference<CompletableFuture<Boolean>> underWay = new AtomicReference<>();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private volatile SpendingTables.Contents contents;
  private volatile boolean takenOver;
  private volatile long renewedMs = Long.MIN_VALUE / 2;
  private volatile long demandCountedMs;
  private volatile int instanceCount;
  private volatile List<InstanceRecord> others = List.of();

  /**
   * Creates the controller and starts to renew.
   *
   * @param self this instance; a later process on the same machine has the same id
   * @param table the platform's table
   * @param storeClock the clock of the table's store
   * @param plan the plan in force
   * @param policy how the unspent tokens are shared
   * @param timers the time
   * @param random spreads attempts after conflicts
   * @param links reaches other instances
   * @param dispatcher gets their requests
   */
  public SpendingController(
      InstanceRecord self,
      TableService table,
      StoreClock storeClock,
      Section<ForwardingPlan> plan,
      SharePolicy policy,
      Timers timers,
      RandomGenerator random,
      PeerLinks links,
      PeerDispatcher dispatcher) {
    this.table = table;
    this.storeClock = storeClock;
    this.plan = plan;
    this.timers = timers;
    this.random = random;
    this.shaper = new GrantShaper(policy);
    this.self = self;
    this.ownKey = SpendingTables.instanceKey(self.id());
    this.loans = new SpendingLoans(links, dispatcher, timers, self, this::findLendable);
    this.demandCountedMs = timers.nowMs();
    timers.after(0, this::renew);
    timers.every(RENEW_MS, this::renew);
  }

  /**
   * Gives the instances that have renewed their rows lately, this one included.
   *
   * @return a count; 0 until the table was read
   */
  public int instanceCount() {
    return instanceCount;
  }

  /**
   * Says whether the instance has a row of its own in the table.
   *
   * @return false until the first row was written
   */
  public boolean hasRow() {
    return takenOver;
  }

  /**
   * Lists the other instances that have renewed their rows lately.
   *
   * @return the instances, in the order of their ids
   */
  public List<InstanceRecord> others() {
    return others;
  }

  /**
   * Sets tokens aside.
   *
   * @param team the team
   * @param tokens the most that the request can cost
   * @return the reservation; fails with {@link SpendingException}
   */
  public CompletableFuture<SpendingReservation> reserve(TeamPlan team, long tokens) {
    if (team.prepaidTokens().isEmpty()) {
      return CompletableFuture.completedFuture(SpendingReservation.UNLIMITED);
    }
    Optional<SpendingReservation> atOnce = tryReserve(team.name(), tokens);
    if (atOnce.isPresent()) {
      return CompletableFuture.completedFuture(atOnce.get());
    }
    return reserveAfterWait(team, tokens, MAX_WAITS);
  }

  private CompletableFuture<SpendingReservation> reserveAfterWait(
      TeamPlan team, long tokens, int waits) {
    TeamSpending spending = teams.get(team.name());
    long opensInMs = spending == null ? SpendingGrant.NEVER_MS : spending.waitMs(tokens);
    boolean renewing = !takenOver || isInTouch();
    if (waits == 0 || !renewing && opensInMs > MAX_WAIT_MS) {
      return reserveFromLoan(team, tokens);
    }
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    timers.after(Math.min(MAX_WAIT_MS, opensInMs), () -> wait.complete(false));
    if (renewing) {
      wantedTokens.merge(team.name(), tokens, Long::sum);
      renewSoon().thenAccept(wait::complete);
    }
    return wait.thenCompose(
        renewed ->
            tryReserve(team.name(), tokens)
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> reserveAfterWait(team, tokens, waits - 1)));
  }

  private CompletableFuture<SpendingReservation> reserveFromLoan(TeamPlan team, long tokens) {
    if (!takenOver || leaving.get()) {
      return CompletableFuture.failedFuture(refusal(team, tokens));
    }
    long wanted = Math.max(BORROW_REQUESTS * tokens, BORROW_S * demandOf(team.name()).tokensPerS());
    return loans
        .borrow(team.name(), tokens, wanted, contents.lenders(ownKey, team.name()))
        .thenApply(
            borrowed -> tryReserve(team.name(), tokens).orElseThrow(() -> refusal(team, tokens)));
  }

  private Optional<TeamSpending> findLendable(String team) {
    return leaving.get() || !takenOver ? Optional.empty() : Optional.ofNullable(teams.get(team));
  }

  private boolean isInTouch() {
    return timers.nowMs() - renewedMs < IN_TOUCH_MS;
  }

  /** Renews at once, or a little after the last renewal, together with whoever asks meanwhile. */
  private CompletableFuture<Boolean> renewSoon() {
    long pauseMs = URGENT_PAUSE_MS - (timers.nowMs() - renewedMs);
    if (pauseMs <= 0) {
      return renew();
    }
    CompletableFuture<Boolean> renewed = new CompletableFuture<>();
    timers.after(pauseMs, () -> renew().thenAccept(renewed::complete));
    return renewed;
  }

  private Optional<SpendingReservation> tryReserve(String team, long tokens) {
    return tryOwn(team, tokens)
        .or(() -> loans.tryReserve(team, tokens))
        .map(SpendingController::once);
  }

  private Optional<SpendingReservation> tryOwn(String team, long tokens) {
    TeamSpending spending = teams.get(team);
    return spending != null && spending.tryReserve(tokens)
        ? Optional.of(usedTokens -> spending.settle(tokens, usedTokens))
        : Optional.empty();
  }

  private static SpendingReservation once(SpendingReservation reservation) {
    AtomicBoolean settled = new AtomicBoolean();
    return usedTokens -> {
      if (settled.compareAndSet(false, true)) {
        reservation.settle(usedTokens);
      }
    };
  }

  /**
   * Explains why tokens cannot be set aside.
   *
   * <p>Only a read of the whole table that is as new as a renewal shows that the team itself has
   * too little; without it the caller is told to come back.
   */
  private SpendingException refusal(TeamPlan team, long tokens) {
    TeamSpending spending = teams.get(team.name());
    if (spending == null) {
      return SpendingException.notHere(team.name(), tokens, "no row yet", RENEW_MS);
    }
    long sinceRenewalMs = timers.nowMs() - renewedMs;
    if (sinceRenewalMs < RENEW_MS + URGENT_PAUSE_MS) {
      long left =
          team.prepaidTokens().getAsLong()
              - spentElsewhere(contents, team.name())
              - spending.spentTokens();
      return left < tokens
          ? SpendingException.spent(team.name(), left, tokens)
          : SpendingException.notHere(
              team.name(), tokens, stateOf(spending, sinceRenewalMs), REBALANCED_MS);
    }
    long waitMs = Math.min(MAX_RETRY_AFTER_MS, spending.waitMs(tokens));
    return SpendingException.notHere(
        team.name(), tokens, stateOf(spending, sinceRenewalMs), Math.max(URGENT_PAUSE_MS, waitMs));
  }

  private static String stateOf(TeamSpending spending, long sinceRenewalMs) {
    return "spent %d of %d, limit %d, renewed %d ms ago"
        .formatted(
            spending.spentTokens(), spending.boundTokens(), spending.limitTokens(), sinceRenewalMs);
  }

  private long spentElsewhere(SpendingTables.Contents known, String team) {
    return known.spentTokens(team) - known.instance(ownKey).grantOf(team).spentTokens();
  }

  /**
   * Hands back all tokens that are not spent; to be called when no request is under way any more.
   *
   * @return completes when the row was written, or could not be
   */
  public CompletableFuture<Boolean> handBack() {
    leaving.set(true);
    return renew();
  }

  /** Renews the row, or joins the renewal that is under way. */
  private CompletableFuture<Boolean> renew() {
    CompletableFuture<Boolean> mine = new CompletableFuture<>();
    CompletableFuture<Boolean> current =
        underWay.updateAndGet(before -> before == null ? mine : before);
    if (current != mine) {
      return current;
    }
    attempt(MAX_CONFLICTS, mine);
    return mine;
  }

  /** Reads and writes; begins again when other instances have changed the rows in between. */
  private void attempt(int attempts, CompletableFuture<Boolean> renewal) {
    table
        .scan(SpendingTables.TABLE, "", "", SpendingTables.MAX_ROWS)
        .thenCompose(rows -> write(SpendingTables.Contents.of(rows)))
        .exceptionally(this::failed)
        .thenAccept(
            outcome -> {
              if (outcome == Outcome.CONFLICT && attempts > 1) {
                long pauseMs = random.nextInt(CONFLICT_PAUSE_MS);
                timers.after(pauseMs, () -> attempt(attempts - 1, renewal));
                return;
              }
              underWay.set(null);
              renewal.complete(outcome == Outcome.WRITTEN);
            });
  }

  private enum Outcome {
    WRITTEN,
    CONFLICT,
    FAILED
  }

  private Outcome failed(Throwable error) {
    Logger.debug("spending not renewed: {}", Failures.unwrap(error).getMessage());
    return Outcome.FAILED;
  }

  private CompletableFuture<Outcome> write(SpendingTables.Contents read) {
    contents = read;
    if (!takenOver) {
      takeOver(read);
    }
    long sentAtStoreMs = storeClock.nowMs();
    others = read.reachable(ownKey, row -> sentAtStoreMs - row.sentAtStoreMs() < SILENT_MS);
    instanceCount = 1 + (int) othersInTouch(read, sentAtStoreMs).count();
    ForwardingPlan inForce = plan.read();
    inForce.teams().stream()
        .filter(team -> team.prepaidTokens().isPresent())
        .forEach(team -> teams.computeIfAbsent(team.name(), name -> new TeamSpending(timers, 0)));
    countDemand();
    Map<String, TeamSpending.SentGrant> sent = new TreeMap<>();
    teams.forEach(
        (name, spending) -> sent.put(name, propose(name, spending, inForce, read, sentAtStoreMs)));
    return table
        .write(transaction(read, sent, sentAtStoreMs))
        .handle((written, error) -> finish(sent, written, error));
  }

  /**
   * Continues with what an earlier process on this machine can have spent at the most.
   *
   * <p>That process stayed below its row in force and below any that it had sent, so the row that
   * is read bounds it, whether or not a late write replaces that row. The first own write is made
   * on the condition that the row is as it was read; if it is not, the newer one tells more
   * exactly.
   */
  private void takeOver(SpendingTables.Contents read) {
    InstanceSpending earlier = read.instance(ownKey);
    InstanceSpending closed = earlier.closedAt(storeClock.nowMs());
    teams.clear();
    closed
        .grants()
        .forEach((team, grant) -> teams.put(team, new TeamSpending(timers, grant.spentTokens())));
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
      SpendingTables.Contents read, Map<String, TeamSpending.SentGrant> sent, long sentAtStoreMs) {
    InstanceSpending before = read.instance(ownKey);
    Map<String, SpendingGrant> grants = new TreeMap<>();
    Transaction transaction = new Transaction(List.of(), List.of());
    for (Map.Entry<String, TeamSpending.SentGrant> entry : sent.entrySet()) {
      String team = entry.getKey();
      SpendingGrant grant = entry.getValue().grant();
      grants.put(team, grant);
      long change = grant.limitTokens() - before.grantOf(team).limitTokens();
      if (change != 0) {
        Row teamRow = read.row(SpendingTables.teamKey(team));
        long granted = read.grantedTokens(team) + change;
        transaction = transaction.and(teamRow, SpendingTables.teamCells(granted));
      }
    }
    InstanceSpending next =
        new InstanceSpending(sentAtStoreMs, self.host(), self.peerPort(), grants);
    return transaction.and(read.row(ownKey), next.toCells());
  }

  private TeamSpending.SentGrant propose(
      String team,
      TeamSpending spending,
      ForwardingPlan inForce,
      SpendingTables.Contents read,
      long nowStoreMs) {
    OptionalLong prepaid =
        inForce.findTeam(team).map(TeamPlan::prepaidTokens).orElse(OptionalLong.empty());
    long wanted = Optional.ofNullable(wantedTokens.remove(team)).orElse(0L);
    GrantShaper.Situation situation =
        new GrantShaper.Situation(
            prepaid.orElse(0),
            read.grantedTokens(team),
            read.instance(ownKey).grantOf(team).limitTokens(),
            othersInTouch(read, nowStoreMs).map(row -> row.grantOf(team)).toList(),
            othersSilent(read, nowStoreMs).map(row -> row.grantOf(team)).toList(),
            demandOf(team).tokensPerS(),
            spending.typicalTokens(),
            wanted,
            leaving.get() || prepaid.isEmpty());
    return spending.propose(spent -> shaper.shape(situation, spent));
  }

  private Stream<InstanceSpending> othersInTouch(SpendingTables.Contents read, long nowStoreMs) {
    return read.others(ownKey).filter(row -> nowStoreMs - row.sentAtStoreMs() < SILENT_MS);
  }

  private Stream<InstanceSpending> othersSilent(SpendingTables.Contents read, long nowStoreMs) {
    return read.others(ownKey).filter(row -> nowStoreMs - row.sentAtStoreMs() >= SILENT_MS);
  }

  private Demand demandOf(String team) {
    return demands.computeIfAbsent(team, name -> new Demand());
  }

  private void countDemand() {
    long nowMs = timers.nowMs();
    long elapsedMs = nowMs - demandCountedMs;
    if (elapsedMs < RENEW_MS / 2) {
      return;
    }
    demandCountedMs = nowMs;
    teams.forEach((name, spending) -> demandOf(name).update(spending.takeUsedTokens(), elapsedMs));
  }

  private Outcome finish(
      Map<String, TeamSpending.SentGrant> sent, Boolean written, Throwable error) {
    if (error == null && written) {
      takenOver = true;
      sent.forEach((name, grant) -> teams.get(name).confirm(grant));
      renewedMs = timers.nowMs();
      loans.handBack();
      return Outcome.WRITTEN;
    }
    boolean surelyNot =
        error == null
            || Failures.unwrap(error) instanceof PlatformException platform
                && platform.outcome() == PlatformException.Outcome.NOT_APPLIED;
    if (surelyNot) {
      sent.forEach((name, grant) -> teams.get(name).retract(grant));
    }
    return error == null ? Outcome.CONFLICT : failed(error);
  }
}
