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
final class CutTable implements TableService {

  private final TableService table;
  private final BooleanSupplier open;

  CutTable(TableService table, BooleanSupplier open) {
    this.table = table;
    this.open = open;
  }

  static <T> CompletableFuture<T> ifOpen(
      BooleanSupplier open, Supplier<CompletableFuture<T>> call) {
    return open.getAsBoolean()
        ? call.get()
        : CompletableFuture.failedFuture(PlatformException.unreachable("network partition"));
  }

  @Override
  public CompletableFuture<List<Row>> read(List<RowKey> keys) {
    return ifOpen(open, () -> table.read(keys));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String name, String prefix, String afterKey, int limit) {
    return ifOpen(open, () -> table.scan(name, prefix, afterKey, limit));
  }

  @Override
  public CompletableFuture<Boolean> write(Transaction transaction) {
    return ifOpen(open, () -> table.write(transaction));
  }
}
