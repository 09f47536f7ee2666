package io.mothrill.lab.fleet;

import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.InstanceRecord;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** An instance list that is unreachable while the network is partitioned. */
final class CutInstanceList implements InstanceList {

  private final InstanceList list;
  private final BooleanSupplier open;

  CutInstanceList(InstanceList list, BooleanSupplier open) {
    this.list = list;
    this.open = open;
  }

  @Override
  public CompletableFuture<Void> announce(InstanceRecord instance) {
    return CutTable.ifOpen(open, () -> list.announce(instance));
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> list() {
    return CutTable.ifOpen(open, list::list);
  }
}
