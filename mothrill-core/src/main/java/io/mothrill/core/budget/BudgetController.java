package io.mothrill.core.budget;

import com.codahale.metrics.MetricRegistry;
import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Manages all budgets of one instance: opens accounts, refills them ahead of need and returns
 * surplus tokens.
 *
 * <pre>{@code
 * controller.account("branch-2026").reserve(1_500).thenAccept(reservation -> ...);
 * }</pre>
 */
public final class BudgetController {

  private static final long TICK_MS = 5_000;

  private final Timers timers;
  private final Lease lease;
  private final SizingPolicy sizing;
  private final AllotmentManager allotments;
  private final Borrower borrower;
  private final BillForwarder bills;
  private final List<TokenSource> sources;
  private final Map<String, BudgetAccount> accounts = new ConcurrentHashMap<>();

  /**
   * Creates the controller and starts its timers.
   *
   * @param table the platform's table
   * @param lease the lease under which tokens are spent
   * @param members the current membership
   * @param links sends requests to peers
   * @param dispatcher where the handlers of peer requests are registered
   * @param timers the clock and timer service
   * @param random randomizes retry delays
   * @param metrics the metric registry
   * @param settings the budget settings
   */
  public BudgetController(
      TableService table,
      Lease lease,
      PublishedValue<Membership> members,
      PeerLinks links,
      PeerDispatcher dispatcher,
      Timers timers,
      Random random,
      MetricRegistry metrics,
      BudgetSettings settings) {
    this.timers = timers;
    this.sizing =
        new EnduranceSizing(settings.enduranceMs(), settings.freeDivisor(), settings.floorTokens());
    this.lease = lease;
    this.allotments = new AllotmentManager(table, lease, sizing, timers, random);
    this.borrower = new Borrower(members, links, timers);
    LedgerPoster ledger =
        new LedgerPoster(table, lease.incarnation(), timers, metrics, settings.postMs());
    this.bills = new BillForwarder(ledger, members, links, dispatcher, timers, settings.postMs());
    this.sources =
        List.of(
            new HolderSource(members, borrower, allotments, settings.sliceMs()),
            new PeerSource(members, borrower));
    var unused =
        new Lender(
            this::account, allotments, dispatcher, timers, settings.leaseMs(), this::onSettled);
    timers.every(TICK_MS, this::tick);
  }

  /**
   * Returns the account of a budget.
   *
   * @param budget the budget's name
   * @return the account, opened on first use
   */
  public BudgetAccount account(String budget) {
    return accounts.computeIfAbsent(
        budget,
        name -> {
          BudgetAccount account = new BudgetAccount(name, timers, sources, this::onSettled);
          allotments.open(account);
          return account;
        });
  }

  /**
   * Returns the forwarder that sends bills to the ledger.
   *
   * @return the forwarder
   */
  public BillForwarder bills() {
    return bills;
  }

  /**
   * Checks whether other instances have closed the lease of this incarnation, so that it may hold
   * no allotments.
   *
   * @return true once the lease is closed
   */
  public boolean isFenced() {
    return lease.isClosed();
  }

  /**
   * Returns the accounts opened so far.
   *
   * @return the accounts
   */
  public List<BudgetAccount> accounts() {
    return List.copyOf(accounts.values());
  }

  private void tick() {
    borrower.retryOpen();
    accounts.values().forEach(this::rebalance);
  }

  private void rebalance(BudgetAccount account) {
    account.tickRate();
    account.removeSpentPools(allotments.poolOf(account.budget()));
    long tokensToKeep = sizing.tokensToKeep(account.ratePerSecond());
    long availableTokens = account.availableTokens();
    if (availableTokens < tokensToKeep / 2) {
      account.refill();
    } else if (availableTokens > 2 * tokensToKeep) {
      returnSurplus(account, availableTokens - tokensToKeep);
    }
  }

  /**
   * Returns the unused tokens of a scarce budget immediately after a request is settled.
   *
   * <p>While other requests wait in this account, nothing is returned: the tokens may have been
   * collected for them, and they would be refused although the budget has enough tokens.
   */
  private void onSettled(BudgetAccount account) {
    if (allotments.isScarce(account.budget()) && !account.isRefilling()) {
      returnSurplus(account, account.availableTokens());
    }
  }

  /** Returns borrowed tokens to their holders and own tokens to the budget. */
  private void returnSurplus(BudgetAccount account, long surplusTokens) {
    TokenPool own = allotments.poolOf(account.budget());
    account.pools().stream().filter(pool -> pool != own).forEach(borrower::handBack);
    long ownTokens = Math.min(surplusTokens, own.availableTokens());
    if (ownTokens > 0) {
      var unused =
          allotments.returnTokens(account.budget(), ownTokens).exceptionally(error -> null);
    }
  }

  /**
   * Returns all tokens that are not reserved, before the instance leaves.
   *
   * @return completes when the platform has accepted the return; fails when it does not respond
   */
  public CompletableFuture<Void> returnAll() {
    List<CompletableFuture<Void>> returns = new ArrayList<>();
    for (BudgetAccount account : accounts.values()) {
      TokenPool own = allotments.poolOf(account.budget());
      account.pools().stream().filter(pool -> pool != own).forEach(borrower::handBack);
      returns.add(allotments.returnTokens(account.budget(), Long.MAX_VALUE));
    }
    return CompletableFuture.allOf(returns.toArray(CompletableFuture[]::new));
  }
}
