package io.mothrill.core.budget;

import static io.mothrill.core.budget.error.BudgetExhausted.budgetExhausted;
import static io.mothrill.core.budget.error.BudgetOutOfReach.budgetOutOfReach;

import com.codahale.metrics.EWMA;
import io.mothrill.core.budget.TokenSource.Result;
import io.mothrill.core.budget.error.BudgetException;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * The account of one budget on one instance: the pools from which it may spend and the requests
 * that wait for tokens.
 *
 * <p>When the pools have enough tokens, a request is served by atomic operations alone. Otherwise
 * it waits while the sources are asked in turn, and it is refused as soon as all of them have
 * responded without providing enough.
 */
public final class BudgetAccount {

  private static final long EXHAUSTED_CACHE_MS = 20;

  /**
   * The number of rounds after which a request is refused although they brought tokens. Other
   * requests took the tokens each time, so more rounds would only add load.
   */
  private static final int MAX_ROUNDS = 8;

  private final String budget;
  private final Timers timers;
  private final List<TokenSource> sources;
  private final Consumer<BudgetAccount> onSettled;
  private final AtomicReference<List<TokenPool>> pools = new AtomicReference<>(List.of());
  private final EWMA rate = EWMA.oneMinuteEWMA();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private boolean refilling;
  private long round;
  private volatile long exhaustedNeedTokens;
  private volatile long exhaustedUntilMs = Long.MIN_VALUE;

  BudgetAccount(
      String budget, Timers timers, List<TokenSource> sources, Consumer<BudgetAccount> onSettled) {
    this.budget = budget;
    this.timers = timers;
    this.sources = List.copyOf(sources);
    this.onSettled = onSettled;
  }

  private record Waiter(
      long needTokens, long joinedRound, CompletableFuture<Reservation> reserved) {}

  /** The combined results of the sources that have been asked in a round. */
  private record RoundResult(boolean anyUnreachable, boolean anyAdded) {

    private static final RoundResult NONE = new RoundResult(false, false);

    RoundResult and(Result answer) {
      return new RoundResult(
          anyUnreachable || answer == Result.UNREACHABLE, anyAdded || answer == Result.ADDED);
    }

    boolean allEmpty() {
      return !anyUnreachable && !anyAdded;
    }
  }

  /**
   * Returns the budget's name.
   *
   * @return the name
   */
  public String budget() {
    return budget;
  }

  /**
   * Reserves tokens, requesting more from the sources when the account has too few.
   *
   * @param tokens the maximum number of tokens that the request may use
   * @return the reservation; fails with {@link BudgetException} when not enough tokens are
   *     available
   */
  public CompletableFuture<Reservation> reserve(long tokens) {
    rate.update(tokens);
    Optional<Reservation> found = tryReserve(tokens);
    if (found.isPresent()) {
      return CompletableFuture.completedFuture(found.get());
    }
    if (tokens >= exhaustedNeedTokens && timers.nowMs() < exhaustedUntilMs) {
      return CompletableFuture.failedFuture(
          BudgetException.exhausted(budgetExhausted(budget, tokens)));
    }
    CompletableFuture<Reservation> reserved = new CompletableFuture<>();
    synchronized (waiters) {
      waiters.add(new Waiter(tokens, round, reserved));
    }
    startRound();
    return reserved;
  }

  /**
   * Reserves tokens only if the account has enough of them available.
   *
   * @param tokens the maximum number of tokens that the request may use
   * @return the reservation, or empty
   */
  public Optional<Reservation> tryReserve(long tokens) {
    long nowMs = timers.nowMs();
    long remainingTokens = tokens;
    List<Reservation.Part> parts = new ArrayList<>(1);
    for (TokenPool pool : pools.get()) {
      long takenTokens = takeFrom(pool, remainingTokens, nowMs);
      if (takenTokens > 0) {
        parts.add(new Reservation.Part(pool, takenTokens));
        remainingTokens -= takenTokens;
      }
      if (remainingTokens == 0) {
        return Optional.of(new Reservation(parts, () -> onSettled.accept(this)));
      }
    }
    new Reservation(parts, () -> {}).release();
    return Optional.empty();
  }

  private static long takeFrom(TokenPool pool, long limitTokens, long nowMs) {
    if (!pool.maySpendAt(nowMs)) {
      return 0;
    }
    pool.beginUse();
    long takenTokens = pool.takeUpTo(limitTokens);
    if (takenTokens == 0) {
      pool.endUse();
    }
    return takenTokens;
  }

  /**
   * Returns the number of tokens that can be reserved now.
   *
   * @return the tokens in pools that may still be spent
   */
  public long availableTokens() {
    long nowMs = timers.nowMs();
    return pools.get().stream()
        .filter(pool -> pool.maySpendAt(nowMs))
        .mapToLong(TokenPool::availableTokens)
        .sum();
  }

  /**
   * Returns the rate at which tokens are drawn from the account.
   *
   * @return tokens per second, averaged over the last minute
   */
  public double ratePerSecond() {
    return rate.getRate(TimeUnit.SECONDS);
  }

  /**
   * Includes tokens lent to others in the rate, so that a holder holds enough for its failure
   * domain.
   */
  void recordLent(long tokens) {
    rate.update(tokens);
  }

  /**
   * Updates the rate. Called every five seconds, which is the interval that the moving average
   * expects.
   */
  void tickRate() {
    rate.tick();
  }

  boolean isRefilling() {
    synchronized (waiters) {
      return refilling;
    }
  }

  List<TokenPool> pools() {
    return pools.get();
  }

  void addPool(TokenPool pool) {
    pools.updateAndGet(
        current -> {
          List<TokenPool> extended = new ArrayList<>(current);
          extended.add(pool);
          return List.copyOf(extended);
        });
  }

  /** Removes pools that are empty or may no longer be spent, except the pool of this instance. */
  void removeSpentPools(TokenPool own) {
    long nowMs = timers.nowMs();
    pools.updateAndGet(
        current ->
            current.stream().filter(pool -> pool == own || !isRemovable(pool, nowMs)).toList());
  }

  private static boolean isRemovable(TokenPool pool, long nowMs) {
    return pool.isSpent() || (pool.isUnused() && !pool.maySpendAt(nowMs));
  }

  /**
   * Removes tokens to lend them to another instance.
   *
   * @param limitTokens the maximum number of tokens
   * @return the tokens by pool; empty when none are available
   */
  List<Reservation.Part> takeForLoan(long limitTokens) {
    long nowMs = timers.nowMs();
    long remainingTokens = limitTokens;
    List<Reservation.Part> parts = new ArrayList<>();
    for (TokenPool pool : pools.get()) {
      long takenTokens = pool.maySpendAt(nowMs) ? pool.takeUpTo(remainingTokens) : 0;
      if (takenTokens > 0) {
        parts.add(new Reservation.Part(pool, takenTokens));
        remainingTokens -= takenTokens;
      }
    }
    return parts;
  }

  /** Requests more tokens ahead of need, unless a request to the sources is in flight. */
  void refill() {
    synchronized (waiters) {
      if (refilling) {
        return;
      }
      refilling = true;
      round++;
    }
    var unused =
        sources
            .get(0)
            .requestTokens(this, demandFor(1))
            .handle((answer, error) -> null)
            .thenAccept(ignored -> endRefill());
  }

  private void endRefill() {
    List<Runnable> completions;
    synchronized (waiters) {
      completions = serveWaiters();
      refilling = false;
    }
    completions.forEach(Runnable::run);
    startRound();
  }

  private void startRound() {
    TokenDemand demand;
    synchronized (waiters) {
      if (refilling || waiters.isEmpty()) {
        return;
      }
      refilling = true;
      round++;
      demand = demandOfWaiters();
    }
    requestFrom(0, demand, RoundResult.NONE);
  }

  private TokenDemand demandOfWaiters() {
    long needTokens = waiters.stream().mapToLong(Waiter::needTokens).sum();
    return demandFor(Math.max(1, needTokens - availableTokens()));
  }

  /** Returns the current demand of the account. */
  TokenDemand demandFor(long needTokens) {
    return new TokenDemand(budget, needTokens, ratePerSecond(), availableTokens(), false);
  }

  private void requestFrom(int index, TokenDemand demand, RoundResult roundResult) {
    if (index == sources.size()) {
      endRound(roundResult);
      return;
    }
    var unused =
        sources
            .get(index)
            .requestTokens(this, demand)
            .handle((answer, error) -> error == null ? answer : Result.UNREACHABLE)
            .thenAccept(answer -> onSourceResult(index, roundResult.and(answer)));
  }

  private void onSourceResult(int index, RoundResult roundResult) {
    List<Runnable> completions;
    Optional<TokenDemand> rest;
    synchronized (waiters) {
      completions = serveWaiters();
      refilling = !waiters.isEmpty();
      rest = refilling ? Optional.of(demandOfWaiters()) : Optional.empty();
    }
    completions.forEach(Runnable::run);
    rest.ifPresent(
        demand ->
            requestFrom(
                index + 1,
                demand.withPlatformUnreachable(roundResult.anyUnreachable()),
                roundResult));
  }

  /**
   * Serves waiting requests in order. A smaller request may overtake a larger one for which there
   * are too few tokens.
   */
  private List<Runnable> serveWaiters() {
    List<Runnable> completions = new ArrayList<>();
    waiters.removeIf(
        waiter -> {
          Optional<Reservation> reservation = tryReserve(waiter.needTokens());
          reservation.ifPresent(found -> completions.add(() -> complete(waiter, found)));
          return reservation.isPresent();
        });
    return completions;
  }

  private static void complete(Waiter waiter, Reservation reservation) {
    if (!waiter.reserved().complete(reservation)) {
      reservation.release();
    }
  }

  /**
   * Refuses the requests for which no source had enough tokens, and starts another round for the
   * others.
   *
   * <p>A request may join a round after the platform was asked for less than it needs, or a request
   * that finds free tokens may take those that the round brought. Refusing the waiting request
   * would then be wrong, because the budget has enough tokens. Therefore only requests that were
   * waiting when the round started, and for which it brought no tokens, are refused; the others get
   * a new round.
   */
  private void endRound(RoundResult roundResult) {
    List<Runnable> completions;
    synchronized (waiters) {
      completions = serveWaiters();
      waiters.removeIf(
          waiter -> {
            boolean refused = mustRefuse(waiter, roundResult);
            if (refused) {
              completions.add(
                  () -> waiter.reserved().completeExceptionally(refusal(waiter, roundResult)));
            }
            return refused;
          });
      refilling = false;
    }
    completions.forEach(Runnable::run);
    startRound();
  }

  private boolean mustRefuse(Waiter waiter, RoundResult roundResult) {
    long rounds = round - waiter.joinedRound();
    return (rounds >= 1 && !roundResult.anyAdded()) || rounds >= MAX_ROUNDS;
  }

  private BudgetException refusal(Waiter waiter, RoundResult roundResult) {
    if (!roundResult.allEmpty()) {
      return BudgetException.outOfReach(budgetOutOfReach(budget, waiter.needTokens()));
    }
    cacheExhausted(waiter.needTokens());
    return BudgetException.exhausted(budgetExhausted(budget, waiter.needTokens()));
  }

  /**
   * Caches for a short time that the budget is exhausted.
   *
   * <p>Without the cache, callers that keep requesting an exhausted budget would cause reads at the
   * platform and messages to all peers for every refusal. For a few milliseconds the last refusal
   * is repeated instead.
   */
  private void cacheExhausted(long needTokens) {
    exhaustedNeedTokens = needTokens;
    exhaustedUntilMs = timers.nowMs() + EXHAUSTED_CACHE_MS;
  }
}
