package io.mothrill.core.budget;

import static io.mothrill.core.budget.error.BudgetExhausted.budgetExhausted;
import static io.mothrill.core.budget.error.BudgetOutOfReach.budgetOutOfReach;

import com.codahale.metrics.EWMA;
import io.mothrill.core.budget.TokenSource.Answer;
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
 * One budget on one instance: the pools it may spend from and the requests that wait for tokens.
 *
 * <p>A request that finds room is served by atomics alone. One that does not waits while the
 * sources are asked in turn; it is refused as soon as all of them have answered without helping.
 */
public final class BudgetAccount {

  private static final long EXHAUSTED_MS = 20;

  /**
   * Rounds that bring tokens without serving a request before it is refused: others took the tokens
   * each time, so more rounds would only add to the load.
   */
  private static final int MAX_ROUNDS = 8;

  private final String budget;
  private final Timers timers;
  private final List<TokenSource> sources;
  private final Consumer<BudgetAccount> afterSettling;
  private final AtomicReference<List<TokenPool>> pools = new AtomicReference<>(List.of());
  private final EWMA rate = EWMA.oneMinuteEWMA();
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private boolean asking;
  private long round;
  private volatile long exhaustedNeedTokens;
  private volatile long exhaustedUntilMs = Long.MIN_VALUE;

  BudgetAccount(
      String budget,
      Timers timers,
      List<TokenSource> sources,
      Consumer<BudgetAccount> afterSettling) {
    this.budget = budget;
    this.timers = timers;
    this.sources = List.copyOf(sources);
    this.afterSettling = afterSettling;
  }

  private record Waiter(
      long needTokens, long joinedRound, CompletableFuture<Reservation> reserved) {}

  /** What the sources that were asked in a round have answered so far. */
  private record Answers(boolean someUnreachable, boolean someAdded) {

    private static final Answers NONE = new Answers(false, false);

    Answers and(Answer answer) {
      return new Answers(
          someUnreachable || answer == Answer.UNREACHABLE, someAdded || answer == Answer.ADDED);
    }

    boolean allEmpty() {
      return !someUnreachable && !someAdded;
    }
  }

  /**
   * Gives the budget's name.
   *
   * @return the name
   */
  public String budget() {
    return budget;
  }

  /**
   * Reserves tokens, asking the sources when the account has too few.
   *
   * @param tokens the most that the request may use
   * @return the reservation; fails with {@link BudgetException} when there is no room
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
    askSources();
    return reserved;
  }

  /**
   * Reserves tokens only if the account has enough of them now.
   *
   * @param tokens the most that the request may use
   * @return the reservation, or empty
   */
  public Optional<Reservation> tryReserve(long tokens) {
    long nowMs = timers.nowMs();
    long openTokens = tokens;
    List<Reservation.Part> parts = new ArrayList<>(1);
    for (TokenPool pool : pools.get()) {
      long takenTokens = takeFrom(pool, openTokens, nowMs);
      if (takenTokens > 0) {
        parts.add(new Reservation.Part(pool, takenTokens));
        openTokens -= takenTokens;
      }
      if (openTokens == 0) {
        return Optional.of(new Reservation(parts, () -> afterSettling.accept(this)));
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
   * Says how much could be reserved now.
   *
   * @return tokens in pools that may still be spent
   */
  public long availableTokens() {
    long nowMs = timers.nowMs();
    return pools.get().stream()
        .filter(pool -> pool.maySpendAt(nowMs))
        .mapToLong(TokenPool::availableTokens)
        .sum();
  }

  /**
   * Says how fast the account is drawn on.
   *
   * @return tokens per second over the last minute
   */
  public double ratePerSecond() {
    return rate.getRate(TimeUnit.SECONDS);
  }

  /** Counts tokens lent to others as drawn on, so that a holder holds enough for its domain. */
  void noteLent(long tokens) {
    rate.update(tokens);
  }

  /** Lets the rate follow the time; called every five seconds, as the average expects. */
  void tick() {
    rate.tick();
  }

  boolean isAsking() {
    synchronized (waiters) {
      return asking;
    }
  }

  List<TokenPool> pools() {
    return pools.get();
  }

  void addPool(TokenPool pool) {
    pools.updateAndGet(
        before -> {
          List<TokenPool> longer = new ArrayList<>(before);
          longer.add(pool);
          return List.copyOf(longer);
        });
  }

  /** Forgets pools that are empty or can no longer be spent from, except this instance's own. */
  void dropSpent(TokenPool own) {
    long nowMs = timers.nowMs();
    pools.updateAndGet(
        before -> before.stream().filter(pool -> pool == own || !isOver(pool, nowMs)).toList());
  }

  private static boolean isOver(TokenPool pool, long nowMs) {
    return pool.isSpent() || (pool.isUnused() && !pool.maySpendAt(nowMs));
  }

  /**
   * Takes tokens out for another instance.
   *
   * @param limitTokens at most this many
   * @return the tokens by pool; empty when there are none
   */
  List<Reservation.Part> takeForOther(long limitTokens) {
    long nowMs = timers.nowMs();
    long openTokens = limitTokens;
    List<Reservation.Part> parts = new ArrayList<>();
    for (TokenPool pool : pools.get()) {
      long takenTokens = pool.maySpendAt(nowMs) ? pool.takeUpTo(openTokens) : 0;
      if (takenTokens > 0) {
        parts.add(new Reservation.Part(pool, takenTokens));
        openTokens -= takenTokens;
      }
    }
    return parts;
  }

  /** Asks for more tokens ahead of need, unless the sources are being asked already. */
  void refill() {
    synchronized (waiters) {
      if (asking) {
        return;
      }
      asking = true;
      round++;
    }
    var unused =
        sources
            .get(0)
            .ask(this, needOf(1))
            .handle((answer, error) -> null)
            .thenAccept(ignored -> endRefill());
  }

  private void endRefill() {
    List<Runnable> completions;
    synchronized (waiters) {
      completions = serveWaiters();
      asking = false;
    }
    completions.forEach(Runnable::run);
    askSources();
  }

  private void askSources() {
    Need need;
    synchronized (waiters) {
      if (asking || waiters.isEmpty()) {
        return;
      }
      asking = true;
      round++;
      need = needOfWaiters();
    }
    askFrom(0, need, Answers.NONE);
  }

  private Need needOfWaiters() {
    long needTokens = waiters.stream().mapToLong(Waiter::needTokens).sum();
    return needOf(Math.max(1, needTokens - availableTokens()));
  }

  /** Describes what the account lacks. */
  Need needOf(long needTokens) {
    return new Need(budget, needTokens, ratePerSecond(), availableTokens(), false);
  }

  private void askFrom(int index, Need need, Answers answers) {
    if (index == sources.size()) {
      endRound(answers);
      return;
    }
    var unused =
        sources
            .get(index)
            .ask(this, need)
            .handle((answer, error) -> error == null ? answer : Answer.UNREACHABLE)
            .thenAccept(answer -> onAnswer(index, answers.and(answer)));
  }

  private void onAnswer(int index, Answers answers) {
    List<Runnable> completions;
    Optional<Need> rest;
    synchronized (waiters) {
      completions = serveWaiters();
      asking = !waiters.isEmpty();
      rest = asking ? Optional.of(needOfWaiters()) : Optional.empty();
    }
    completions.forEach(Runnable::run);
    rest.ifPresent(need -> askFrom(index + 1, need.with(answers.someUnreachable()), answers));
  }

  /** Serves waiting requests in order; a smaller one may pass a larger one that lacks tokens. */
  private List<Runnable> serveWaiters() {
    List<Runnable> completions = new ArrayList<>();
    waiters.removeIf(
        waiter -> {
          Optional<Reservation> reservation = tryReserve(waiter.needTokens());
          reservation.ifPresent(found -> completions.add(() -> hand(waiter, found)));
          return reservation.isPresent();
        });
    return completions;
  }

  private static void hand(Waiter waiter, Reservation reservation) {
    if (!waiter.reserved().complete(reservation)) {
      reservation.release();
    }
  }

  /**
   * Refuses those that all sources have answered for, and asks again for the others.
   *
   * <p>Failure: a request joins a round after the platform was asked for less than it needs, or a
   * request that found room at once takes what the round has brought. Symptom: it is refused though
   * the budget has room. Only requests that waited when the round began, and for which it brought
   * nothing, are refused; the others get a round of their own.
   */
  private void endRound(Answers answers) {
    List<Runnable> completions;
    synchronized (waiters) {
      completions = serveWaiters();
      waiters.removeIf(
          waiter -> {
            boolean over = endsUnserved(waiter, answers);
            if (over) {
              completions.add(
                  () -> waiter.reserved().completeExceptionally(refusal(waiter, answers)));
            }
            return over;
          });
      asking = false;
    }
    completions.forEach(Runnable::run);
    askSources();
  }

  private boolean endsUnserved(Waiter waiter, Answers answers) {
    long rounds = round - waiter.joinedRound();
    return (rounds >= 1 && !answers.someAdded()) || rounds >= MAX_ROUNDS;
  }

  private BudgetException refusal(Waiter waiter, Answers answers) {
    if (!answers.allEmpty()) {
      return BudgetException.outOfReach(budgetOutOfReach(budget, waiter.needTokens()));
    }
    noteExhausted(waiter.needTokens());
    return BudgetException.exhausted(budgetExhausted(budget, waiter.needTokens()));
  }

  /**
   * Remembers for a moment that the budget had no room.
   *
   * <p>Failure: callers go on asking an empty budget. Symptom: every refusal costs reads at the
   * platform and messages to all peers. For a few milliseconds the last answer is given again.
   */
  private void noteExhausted(long needTokens) {
    exhaustedNeedTokens = needTokens;
    exhaustedUntilMs = timers.nowMs() + EXHAUSTED_MS;
  }
}
