package io.mothrill.core.budget;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Obtains tokens from the platform's table for this incarnation, with one allotment per budget.
 *
 * <p>The allotment and the budget's sum are written in one transaction that is conditional on the
 * versions read. The numbers of an allotment are cumulative, so after a lost response the row
 * itself shows what was granted. A response can therefore be lost at any point without a token
 * being counted twice.
 */
public final class AllotmentManager implements TokenSource {

  private static final int MAX_ATTEMPTS = 20;
  private static final int MAX_BACKOFF_MS = 20;

  private final TableService table;
  private final Lease lease;
  private final SizingPolicy sizing;
  private final Timers timers;
  private final Random random;
  private final Map<String, LocalAllotment> localAllotments = new ConcurrentHashMap<>();

  /**
   * Creates the manager.
   *
   * @param table the platform's table
   * @param lease the lease under which the tokens are spent
   * @param sizing decides how many tokens to request
   * @param timers the clock and timer service
   * @param random randomizes the retry delay of instances that write the same budget concurrently
   */
  public AllotmentManager(
      TableService table, Lease lease, SizingPolicy sizing, Timers timers, Random random) {
    this.table = table;
    this.lease = lease;
    this.sizing = sizing;
    this.timers = timers;
    this.random = random;
  }

  /**
   * An allotment as known to this incarnation. Its numbers are changed by one operation at a time.
   */
  private static final class LocalAllotment {
    private final TokenPool pool;
    private final List<RowKey> rows;
    private long grantedTokens;
    private long returningTokens;
    private volatile boolean scarce;
    private CompletableFuture<?> last = CompletableFuture.completedFuture(null);

    LocalAllotment(TokenPool pool, Lease lease) {
      this.pool = pool;
      this.rows =
          List.of(
              BudgetTables.budget(pool.allotment().budget()),
              BudgetTables.allotment(pool.allotment().toString()),
              BudgetTables.lease(lease.incarnation()));
    }

    /** Runs an operation on the row after the previous one has completed. */
    synchronized <T> CompletableFuture<T> runSerially(Supplier<CompletableFuture<T>> operation) {
      CompletableFuture<T> next =
          last.handle((ignored, error) -> null).thenCompose(ignored -> operation.get());
      last = next;
      return next;
    }

    /**
     * Updates the local numbers from the row when the responses to writes were lost.
     *
     * <p>Only this incarnation changes the granted amount, and each write is conditional on the
     * version it read, so at most one of several writes with unknown outcome can have been applied.
     */
    void reconcile(AllotmentRow row) {
      if (returningTokens > 0 && row.grantedTokens() == grantedTokens - returningTokens) {
        grantedTokens = row.grantedTokens();
        returningTokens = 0;
      } else if (row.grantedTokens() > grantedTokens) {
        pool.put(row.grantedTokens() - grantedTokens);
        grantedTokens = row.grantedTokens();
      }
    }
  }

  /** The rows on which a change of an allotment depends. */
  private record Rows(Row budgetRow, Row allotmentRow, Row leaseRow) {

    static Rows of(List<Row> rows) {
      return new Rows(rows.get(0), rows.get(1), rows.get(2));
    }

    BudgetRow budget() {
      return BudgetRow.of(budgetRow);
    }

    AllotmentRow allotment() {
      return AllotmentRow.of(allotmentRow);
    }

    Transaction grant(long tokens) {
      return Transaction.on(budgetRow, budget().allot(tokens).toCells())
          .and(allotmentRow, allotment().grant(tokens).toCells())
          .requiring(leaseRow);
    }
  }

  /**
   * Opens this incarnation's pool for an account.
   *
   * @param account the account
   */
  void open(BudgetAccount account) {
    localAllotments.computeIfAbsent(
        account.budget(),
        budget -> {
          AllotmentId id = new AllotmentId(lease.incarnation(), budget);
          TokenPool pool = new TokenPool(id, lease::spendUntilMs);
          account.addPool(pool);
          return new LocalAllotment(pool, lease);
        });
  }

  /**
   * Returns the pool of this incarnation for a budget.
   *
   * @param budget the budget's name
   * @return the pool, or null when the account has not been opened
   */
  TokenPool poolOf(String budget) {
    LocalAllotment found = localAllotments.get(budget);
    return found == null ? null : found.pool;
  }

  /**
   * Checks whether the budget was scarce at the last request to the platform.
   *
   * @param budget the budget's name
   * @return true when only reserved tokens may be held
   */
  boolean isScarce(String budget) {
    LocalAllotment found = localAllotments.get(budget);
    return found != null && found.scarce;
  }

  @Override
  public CompletableFuture<Result> requestTokens(BudgetAccount account, TokenDemand demand) {
    LocalAllotment allotment = localAllotments.get(account.budget());
    return allotment
        .runSerially(
            () -> reconcileReturn(allotment, 1).thenCompose(rows -> grant(allotment, demand, 1)))
        .exceptionally(
            error -> {
              Logger.debug(
                  "no tokens granted for budget {}: {}", demand.budget(), error.getMessage());
              return Result.UNREACHABLE;
            });
  }

  private CompletableFuture<Result> grant(
      LocalAllotment allotment, TokenDemand demand, int attempt) {
    return table
        .read(allotment.rows)
        .thenApply(Rows::of)
        .thenCompose(
            rows -> {
              long beforeTokens = allotment.pool.availableTokens();
              allotment.reconcile(rows.allotment());
              if (allotment.pool.availableTokens() - beforeTokens >= demand.needTokens()) {
                return CompletableFuture.completedFuture(Result.ADDED);
              }
              if (!rows.leaseRow().exists() || lease.spendUntilMs() <= timers.nowMs()) {
                return lease.renew().thenCompose(row -> retryGrant(allotment, demand, attempt));
              }
              return writeGrant(allotment, demand, rows, attempt);
            });
  }

  private CompletableFuture<Result> writeGrant(
      LocalAllotment allotment, TokenDemand demand, Rows rows, int attempt) {
    if (rows.allotment().closed()) {
      return CompletableFuture.completedFuture(Result.UNREACHABLE);
    }
    allotment.scarce = sizing.isScarce(demand, rows.budget());
    long tokens = sizing.tokensToRequest(demand, rows.budget());
    if (tokens <= 0) {
      return CompletableFuture.completedFuture(Result.EMPTY);
    }
    return table
        .write(rows.grant(tokens))
        .thenCompose(
            written -> {
              if (!written) {
                return retryGrant(allotment, demand, attempt);
              }
              allotment.grantedTokens += tokens;
              allotment.pool.put(tokens);
              return CompletableFuture.completedFuture(Result.ADDED);
            });
  }

  /** Retries after another holder, or the ledger of this one, changed a row concurrently. */
  private CompletableFuture<Result> retryGrant(
      LocalAllotment allotment, TokenDemand demand, int attempt) {
    return backOff(attempt).thenCompose(nothing -> grant(allotment, demand, attempt + 1));
  }

  private CompletableFuture<Void> backOff(int attempt) {
    if (attempt >= MAX_ATTEMPTS) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("gave up after " + attempt + " conflicting writes to a row"));
    }
    CompletableFuture<Void> waited = new CompletableFuture<>();
    long delayMs = attempt == 1 ? 0 : 1 + random.nextInt(MAX_BACKOFF_MS);
    timers.after(delayMs, () -> waited.complete(null));
    return waited;
  }

  /**
   * Returns tokens to the budget.
   *
   * <p>The tokens are removed from the pool first. If the response is lost, they stay out of the
   * pool until the row shows whether the return was applied. Adding them back earlier could let two
   * instances hold the same tokens.
   *
   * @param budget the budget's name
   * @param tokens the maximum number of tokens to return
   * @return completes when the outcome of the return is known; fails when the platform does not
   *     respond
   */
  public CompletableFuture<Void> returnTokens(String budget, long tokens) {
    LocalAllotment allotment = localAllotments.get(budget);
    if (allotment == null) {
      return CompletableFuture.completedFuture(null);
    }
    return allotment.runSerially(
        () ->
            reconcileReturn(allotment, 1)
                .thenCompose(
                    nothing -> {
                      allotment.returningTokens = allotment.pool.takeUpTo(tokens);
                      return reconcileReturn(allotment, 1);
                    }));
  }

  private CompletableFuture<Void> reconcileReturn(LocalAllotment allotment, int attempt) {
    if (allotment.returningTokens == 0) {
      return CompletableFuture.completedFuture(null);
    }
    return table
        .read(allotment.rows)
        .thenApply(Rows::of)
        .thenCompose(
            rows -> {
              allotment.reconcile(rows.allotment());
              return allotment.returningTokens == 0
                  ? CompletableFuture.completedFuture(null)
                  : writeReturn(allotment, rows, attempt);
            });
  }

  private CompletableFuture<Void> writeReturn(LocalAllotment allotment, Rows rows, int attempt) {
    if (rows.allotment().closed()) {
      allotment.returningTokens = 0;
      return CompletableFuture.completedFuture(null);
    }
    return table
        .write(rows.grant(-allotment.returningTokens))
        .thenCompose(
            written -> {
              if (!written) {
                return backOff(attempt)
                    .thenCompose(nothing -> reconcileReturn(allotment, attempt + 1));
              }
              allotment.grantedTokens -= allotment.returningTokens;
              allotment.returningTokens = 0;
              return CompletableFuture.completedFuture(null);
            });
  }
}
