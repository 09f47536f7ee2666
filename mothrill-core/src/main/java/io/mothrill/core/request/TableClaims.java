package io.mothrill.core.request;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * Claims unrepeatable requests by a conditional insert in the platform's table.
 *
 * <p>When the answer to an insert is lost, the row is read: it names the run that inserted it.
 */
public final class TableClaims implements UnrepeatableClaims {

  private static final String TABLE = "claims";
  private static final String REQUEST_ID = "requestId";
  private static final int MAX_ATTEMPTS = 3;

  private final TableService table;
  private final Timers timers;

  /**
   * Creates the claims.
   *
   * @param table the platform's table
   * @param timers the time
   */
  public TableClaims(TableService table, Timers timers) {
    this.table = table;
    this.timers = timers;
  }

  @Override
  public CompletableFuture<Outcome> claim(RequestKey key, String requestId) {
    return insert(new RowKey(TABLE, key.toString()), requestId, 1)
        .exceptionally(
            error -> {
              Logger.debug("claim of {} not recorded: {}", key, error.getMessage());
              return Outcome.UNSAFE;
            });
  }

  @Override
  public void release(RequestKey key, String requestId) {
    RowKey row = new RowKey(TABLE, key.toString());
    var unused =
        table
            .read(List.of(row))
            .thenCompose(rows -> delete(rows.get(0), requestId))
            .exceptionally(
                error -> {
                  Logger.warn("claim of {} not released: {}", key, error.getMessage());
                  return false;
                });
  }

  private CompletableFuture<Boolean> delete(Row row, String requestId) {
    boolean own = row.cells().text(REQUEST_ID).equals(requestId);
    return own
        ? table.write(new Transaction(List.of(), List.of()).andDelete(row))
        : CompletableFuture.completedFuture(false);
  }

  private CompletableFuture<Outcome> insert(RowKey row, String requestId, int attempt) {
    Cells cells = Cells.empty().with(REQUEST_ID, requestId).with("wallMs", timers.wallMs());
    return table
        .write(Transaction.on(Row.absent(row), cells))
        .exceptionally(error -> false)
        .thenCompose(
            written ->
                written
                    ? CompletableFuture.completedFuture(Outcome.GRANTED)
                    : readBack(row, requestId, attempt));
  }

  private CompletableFuture<Outcome> readBack(RowKey row, String requestId, int attempt) {
    return table
        .read(List.of(row))
        .thenCompose(
            rows -> {
              Row found = rows.get(0);
              if (found.exists()) {
                boolean own = found.cells().text(REQUEST_ID).equals(requestId);
                return CompletableFuture.completedFuture(own ? Outcome.GRANTED : Outcome.TAKEN);
              }
              return attempt >= MAX_ATTEMPTS
                  ? CompletableFuture.completedFuture(Outcome.UNSAFE)
                  : insert(row, requestId, attempt + 1);
            });
  }
}
