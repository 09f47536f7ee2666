package io.mothrill.core.forward.view;

import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** A link on which responses with rows of the configuration share the bandwidth. */
final class SharedLink implements StateSource {

  private static final long STEP_MS = 10;

  private final MemoryStore store;
  private final double transferMs;
  private final List<Transfer> transfers = new ArrayList<>();
  private long busyMs;

  /** A response that is being received. */
  private static final class Transfer {
    private final TableRead read;
    private final Runnable onProgress;
    private final CompletableFuture<TableRead> response = new CompletableFuture<>();
    private double leftMs;

    Transfer(TableRead read, double leftMs, Runnable onProgress) {
      this.read = read;
      this.leftMs = leftMs;
      this.onProgress = onProgress;
    }
  }

  /**
   * Creates a link.
   *
   * @param transferMs how long a plan takes that has the link to itself
   */
  SharedLink(MemoryStore store, Timers timers, double transferMs) {
    this.store = store;
    this.transferMs = transferMs;
    timers.every(STEP_MS, this::advance);
  }

  private void advance() {
    List<Transfer> sharing = List.copyOf(transfers);
    busyMs += sharing.isEmpty() ? 0 : STEP_MS;
    sharing.forEach(transfer -> transfer.leftMs -= (double) STEP_MS / sharing.size());
    sharing.forEach(transfer -> transfer.onProgress.run());
    sharing.stream()
        .filter(transfer -> transfer.leftMs <= 0)
        .forEach(
            transfer -> {
              transfers.remove(transfer);
              transfer.response.complete(transfer.read);
            });
  }

  /** Returns how long responses were on the link. */
  long busyMs() {
    return busyMs;
  }

  @Override
  public CompletableFuture<TableRead> readWhole(ViewTable table, Runnable onProgress) {
    return transfer(table, store.whole(table), onProgress);
  }

  @Override
  public CompletableFuture<TableRead> readChanges(
      ViewTable table, long afterVersion, Runnable onProgress) {
    return transfer(table, store.changes(table, afterVersion), onProgress);
  }

  private CompletableFuture<TableRead> transfer(
      ViewTable table, TableRead read, Runnable onProgress) {
    if (table != ViewTable.CONFIG || read.rows().isEmpty()) {
      return CompletableFuture.completedFuture(read);
    }
    Transfer started = new Transfer(read, transferMs, onProgress);
    transfers.add(started);
    return started.response;
  }
}
