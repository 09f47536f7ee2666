package io.mothrill.core.forward.spending;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Keeps this instance's row of grants renewed and sets tokens aside under it.
 *
 * <pre>{@code
 * spending.reserve(team, 1_540)
 *     .thenAccept(reservation -> reservation.settle(usedTokens));
 * }</pre>
 */
public final class SpendingController {

  /** A renewal that takes longer, once it is sent, shows that the store is slow or silent. */
  private static final long SLOW_RENEWAL_MS = 150;

  private final Timeouts timeouts;
  private final long startedMs;
  private final SpendingReader reader;
  private final SpendingState state;
  private final SpendingLoans loans;
  private final SpendingRenewal renewal;
  private final TokenReserver reserver;
  private final TableRefill refill = new TableRefill();

  /**
   * Creates the controller and starts to renew.
   *
   * @param self this instance; a later process on the same machine has the same id
   * @param table the platform's table
   * @param storeClock the clock of the table's store
   * @param plan the plan in force
   * @param policy how the unspent tokens are shared
   * @param timers the time
   * @param startedMs when this process had begun, by the clock of the timers; an earlier process of
   *     the same instance was dead by then
   * @param random spreads attempts after conflicts
   * @param links reaches other instances
   * @param dispatcher gets their requests
   */
  public SpendingController(
      InstanceRecord self,
      TableService table,
      StoreClock storeClock,
      PublishedValue<ForwardingPlan> plan,
      SharePolicy policy,
      Timers timers,
      long startedMs,
      RandomGenerator random,
      PeerLinks links,
      PeerDispatcher dispatcher) {
    this.timeouts = new Timeouts(timers);
    this.startedMs = startedMs;
    this.reader =
        new SpendingReader(table, storeClock, timers, SpendingTable.instanceKey(self.id()));
    this.state = new SpendingState(self, storeClock, timers, startedMs, random, policy);
    this.loans =
        new SpendingLoans(
            links, dispatcher, timers, self, this::findLendableSpending, refill, state.shortages());
    this.renewal =
        new SpendingRenewal(table, reader, state, plan, timers, random, loans::returnUnspent);
    SpendingRefusals refusals = new SpendingRefusals(state, reader, renewal);
    this.reserver = new TokenReserver(state, loans, renewal, refusals, refill, timeouts);
  }

  /**
   * Gives the instances that have renewed their rows lately, this one included.
   *
   * @return a count; 0 until the table was read
   */
  public int instanceCount() {
    return state.instanceCount();
  }

  /**
   * Says whether the instance has a row of its own in the table.
   *
   * @return false until the first row was written
   */
  public boolean hasRow() {
    return state.isInitialized();
  }

  /**
   * Says how old the own row is.
   *
   * @return milliseconds since it was last renewed; very many when it never was
   */
  public long renewalAgeMs() {
    return renewal.renewalAgeMs();
  }

  /**
   * Gives what is held of a team's budget here and not spent yet.
   *
   * @param team the team
   * @return tokens, some of which may open only later
   */
  public long heldTokens(String team) {
    return state.heldTokens(team);
  }

  /**
   * Gives what no instance's limit covers of a team's budget.
   *
   * @param team the team
   * @return tokens by the last read of the table
   */
  public long unassignedTokens(TeamPlan team) {
    return state.tokensOf(team).unassignedTokens();
  }

  /**
   * Gives what counted as spent at the start, though the last row of the process before did not
   * show it as spent.
   *
   * @return tokens of all teams
   */
  public long lostTokens() {
    return state.lostTokens();
  }

  /**
   * Counts the requests that were refused for tokens.
   *
   * @return a count since the start
   */
  public long refusedCount() {
    return state.shortages().refusedCount();
  }

  /**
   * Counts the refused requests that what the table had unassigned would have covered.
   *
   * @return a count since the start
   */
  public long refusedThoughUnassignedCount() {
    return state.shortages().refusedThoughUnassignedCount();
  }

  /**
   * Lists the other instances that have renewed their rows lately.
   *
   * @return the instances, in the order of their ids
   */
  public List<InstanceRecord> peers() {
    return state.peers();
  }

  /**
   * Says whether {@link #peers()} holds for this moment: it was read when it was due, and this
   * process has been there for as long as others need to read of it.
   *
   * @return false after the start, and while the store is out of reach
   */
  public boolean isFleetViewCurrent() {
    return reader.isFullReadCurrent(startedMs);
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
    return reserver.reserve(team, tokens);
  }

  /** Gets more for loans, unless the store is out of reach. */
  private final class TableRefill implements SpendingLoans.Refill {

    /** The holders of all domains are asked and open a part each, together what was lacking. */
    @Override
    public void requestWithNextRenewal(String team, long missingTokens) {
      if (renewal.isStoreReachable() && !renewal.isReturningAll()) {
        state.wanted().add(team, ceilDivide(missingTokens, state.holders().holderCount()));
      }
    }

    private static long ceilDivide(long tokens, int parts) {
      return (tokens + parts - 1) / parts;
    }

    @Override
    public Optional<CompletableFuture<Boolean>> refill(String team, long needTokens) {
      if (!renewal.isStoreReachable() || renewal.isReturningAll()) {
        return Optional.empty();
      }
      if (state.isKnownInsufficient(team, needTokens)) {
        return Optional.of(CompletableFuture.completedFuture(true));
      }
      SpendingRenewal.RequestedRenewal asked = renewal.requestTokens(team, needTokens);
      return asked.isTooLate()
          ? Optional.empty()
          : Optional.of(
              timeouts.completeWithin(asked.renewed(), asked.delayMs() + SLOW_RENEWAL_MS));
    }
  }

  private Optional<TeamSpending> findLendableSpending(String team) {
    return renewal.isReturningAll() || !state.isInitialized() ? Optional.empty() : state.find(team);
  }

  /**
   * Hands back all tokens that are not spent; to be called when no request is under way any more.
   *
   * @return completes when the row was written, or could not be
   */
  public CompletableFuture<Boolean> returnUnspentTokens() {
    return renewal.returnUnspentTokens();
  }
}
