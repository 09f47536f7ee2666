package io.mothrill.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table service, as far as mothrill needs it.
 *
 * <p>Every future may fail with {@link io.mothrill.core.platform.error.PlatformException}. A failed
 * write may still take effect, even after a later read, unless the error says otherwise; each
 * caller therefore writes on the condition of the version it read.
 */
public interface TableService {

  /**
   * Reads rows in one call.
   *
   * @param keys the rows' addresses
   * @return one row per key in the same order, with version 0 for each that does not exist
   */
  CompletableFuture<List<Row>> read(List<RowKey> keys);

  /**
   * Reads a run of rows in key order.
   *
   * @param table the table
   * @param prefix what each key starts with
   * @param afterKey only keys greater than this; empty for all
   * @param limit at most this many rows
   * @return the rows found
   */
  CompletableFuture<List<Row>> scan(String table, String prefix, String afterKey, int limit);

  /**
   * Writes all changes of a transaction, or none of them.
   *
   * @param transaction the changes and their conditions
   * @return true when written, false when a row no longer had the expected version
   */
  CompletableFuture<Boolean> write(Transaction transaction);
}
