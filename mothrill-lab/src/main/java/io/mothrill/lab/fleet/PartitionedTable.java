package io.mothrill.lab.fleet;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.platform.error.PlatformException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** A table that is unreachable while the network is partitioned. */
final class PartitionedTable implements TableService {

  private final TableService table;
  private final BooleanSupplier reachable;

  PartitionedTable(TableService table, BooleanSupplier reachable) {
    this.table = table;
    this.reachable = reachable;
  }

  static <T> CompletableFuture<T> ifReachable(
      BooleanSupplier reachable, Supplier<CompletableFuture<T>> call) {
    return reachable.getAsBoolean()
        ? call.get()
        : CompletableFuture.failedFuture(PlatformException.unreachable("network partition"));
  }

  @Override
  public CompletableFuture<List<Row>> read(List<RowKey> keys) {
    return ifReachable(reachable, () -> table.read(keys));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String name, String prefix, String afterKey, int limit) {
    return ifReachable(reachable, () -> table.scan(name, prefix, afterKey, limit));
  }

  @Override
  public CompletableFuture<Boolean> write(Transaction transaction) {
    return ifReachable(reachable, () -> table.write(transaction));
  }
}
