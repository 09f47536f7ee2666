package io.mothrill.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The subset of the platform's transactional table service that mothrill uses.
 *
 * <p>Every future may fail with {@link io.mothrill.core.platform.error.PlatformException}. A failed
 * write may still take effect, even after a later read, unless the exception rules it out. Callers
 * therefore make each write conditional on the version they read.
 */
public interface TableService {

  /**
   * Reads several rows in one call.
   *
   * @param keys the keys of the rows
   * @return one row per key, in the same order; a row that does not exist has version 0
   */
  CompletableFuture<List<Row>> read(List<RowKey> keys);

  /**
   * Reads consecutive rows in key order.
   *
   * @param table the table
   * @param prefix the common prefix of the keys
   * @param afterKey only keys greater than this; empty for all
   * @param limit the maximum number of rows
   * @return the rows found
   */
  CompletableFuture<List<Row>> scan(String table, String prefix, String afterKey, int limit);

  /**
   * Applies a transaction atomically.
   *
   * @param transaction the changes and their conditions
   * @return true when applied, false when a row did not have the expected version
   */
  CompletableFuture<Boolean> write(Transaction transaction);
}
