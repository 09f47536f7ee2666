package io.mothrill.core.forward.view;

import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import java.util.concurrent.CompletableFuture;

/**
 * Reads tables of the platform's store.
 *
 * <p>Every future may fail with {@link io.mothrill.core.platform.error.PlatformException}.
 */
public interface StateSource {

  /**
   * Reads all rows of a table.
   *
   * @param table the table
   * @param onProgress called whenever a part of the response arrives
   * @return the rows as of one moment after the call
   */
  CompletableFuture<TableRead> readWhole(ViewTable table, Runnable onProgress);

  /**
   * Reads the changes of a table. Changes that the store does not show yet are missing.
   *
   * @param table the table
   * @param afterVersion the version of the store after which changes are requested
   * @param onProgress called whenever a part of the response arrives
   * @return the changes; all rows if the store no longer has these changes
   */
  CompletableFuture<TableRead> readChanges(ViewTable table, long afterVersion, Runnable onProgress);
}
