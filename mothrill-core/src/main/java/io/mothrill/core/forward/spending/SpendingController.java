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
 * Renews this instance's row of grants and reserves tokens under it.
 *
 * <pre>{@code
 * spending.reserve(team, 1_540)
 *     .thenAccept(reservation -> reservation.settle(usedTokens));
 * }</pre>
 */
public final class SpendingController {

  /**
   * A renewal that takes longer than this after it was sent shows that the store is slow or
   * unreachable.
   */
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
   * Creates the controller and starts to renew the row.
   *
   * @param self this instance; a later process on the same machine has the same id
   * @param table the platform's table
   * @param storeClock the clock of the table's store
   * @param plan the current plan
   * @param policy decides how unspent tokens are shared
   * @param timers the timers and clock of this process
   * @param startedMs when this process started, by the clock of the timers; an earlier process of
   *     the same instance had ended by then
   * @param random randomizes the backoff after conflicts
   * @param links the connections to other instances
   * @param dispatcher receives the messages of other instances
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
   * Returns the number of instances that have recently renewed their rows, including this one.
   *
   * @return the count; 0 until the table was read
   */
  public int instanceCount() {
    return state.instanceCount();
  }

  /**
   * Checks whether this instance has a row of its own in the table.
   *
   * @return false until the first row was written
   */
  public boolean hasRow() {
    return state.isInitialized();
  }

  /**
   * Returns the age of this instance's row.
   *
   * @return milliseconds since the last renewal; a very large number if there was none
   */
  public long renewalAgeMs() {
    return renewal.renewalAgeMs();
  }

  /**
   * Returns the tokens of a team's budget that this instance holds and has not spent.
   *
   * @param team the team
   * @return tokens, some of which may be released only later
   */
  public long heldTokens(String team) {
    return state.heldTokens(team);
  }

  /**
   * Returns the unassigned tokens of a team's budget, which are granted to no instance.
   *
   * @param team the team
   * @return tokens according to the last read of the table
   */
  public long unassignedTokens(TeamPlan team) {
    return state.tokensOf(team).unassignedTokens();
  }

  /**
   * Returns the tokens that were counted as spent at the start although the last row of the
   * previous process did not show them as spent.
   *
   * @return tokens of all teams
   */
  public long lostTokens() {
    return state.lostTokens();
  }

  /**
   * Returns the number of requests refused for lack of tokens.
   *
   * @return a count since the start
   */
  public long refusedCount() {
    return state.shortages().refusedCount();
  }

  /**
   * Returns the number of refused requests that the table's unassigned tokens would have covered.
   *
   * @return a count since the start
   */
  public long refusedThoughUnassignedCount() {
    return state.shortages().refusedThoughUnassignedCount();
  }

  /**
   * Returns the other instances that have recently renewed their rows.
   *
   * @return the instances, ordered by id
   */
  public List<InstanceRecord> peers() {
    return state.peers();
  }

  /**
   * Checks whether {@link #peers()} is current: the last full read is not overdue, and the row of
   * this instance has been renewed long enough for other instances to have read it.
   *
   * @return false after the start and while the store is unreachable
   */
  public boolean isFleetViewCurrent() {
    return reader.isFullReadCurrent(renewal.registeredSinceMs());
  }

  /**
   * Reserves tokens.
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

  /** Gets more tokens for loans, unless the store is unreachable. */
  private final class TableRefill implements SpendingLoans.Refill {

    /**
     * Requests a part of the missing tokens: the holders of all domains are asked, and together
     * they make up the shortage.
     */
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
      SpendingRenewal.RequestedRenewal requested = renewal.requestTokens(team, needTokens);
      return requested.isTooLate()
          ? Optional.empty()
          : Optional.of(
              timeouts.completeWithin(requested.renewed(), requested.delayMs() + SLOW_RENEWAL_MS));
    }
  }

  private Optional<TeamSpending> findLendableSpending(String team) {
    return renewal.isReturningAll() || !state.isInitialized() ? Optional.empty() : state.find(team);
  }

  /**
   * Returns all unspent tokens to the table; to be called when no requests are in flight any
   * longer.
   *
   * @return completes when the row was written, or could not be
   */
  public CompletableFuture<Boolean> returnUnspentTokens() {
    return renewal.returnUnspentTokens();
  }
}
