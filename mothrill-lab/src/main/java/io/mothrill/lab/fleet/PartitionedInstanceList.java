package io.mothrill.lab.fleet;

import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.InstanceRecord;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** An instance list that is unreachable while the network is partitioned. */
final class PartitionedInstanceList implements InstanceList {

  private final InstanceList list;
  private final BooleanSupplier reachable;

  PartitionedInstanceList(InstanceList list, BooleanSupplier reachable) {
    this.list = list;
    this.reachable = reachable;
  }

  @Override
  public CompletableFuture<Void> announce(InstanceRecord instance) {
    return PartitionedTable.ifReachable(reachable, () -> list.announce(instance));
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> list() {
    return PartitionedTable.ifReachable(reachable, list::list);
  }
}
