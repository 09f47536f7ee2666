package io.mothrill.core.fake;

import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** An in-memory instance list that drops instances which have not announced themselves recently. */
public final class FakeInstanceList implements InstanceList {

  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private final Timers timers;
  private final long expiryMs;
  private final FaultInjector faults;

  /**
   * Creates an empty list.
   *
   * @param timers the timer service
   * @param expiryMs how long an instance stays listed after its last announcement, which models the
   *     lag of the list
   */
  public FakeInstanceList(Timers timers, long expiryMs) {
    this.timers = timers;
    this.expiryMs = expiryMs;
    this.faults = new FaultInjector(timers);
  }

  /**
   * Returns the fault injector of this list.
   *
   * @return the fault injector
   */
  public FaultInjector faults() {
    return faults;
  }

  @Override
  public CompletableFuture<Void> announce(InstanceRecord instance) {
    return faults.call(
        "announce",
        () -> {
          entries.put(instance.id(), new Entry(instance, timers.nowMs()));
          return null;
        });
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> list() {
    return faults.call("list", this::listNow);
  }

  private List<InstanceRecord> listNow() {
    long oldestMs = timers.nowMs() - expiryMs;
    return entries.values().stream()
        .filter(entry -> entry.announcedMs >= oldestMs)
        .map(Entry::instance)
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .toList();
  }

  private record Entry(InstanceRecord instance, long announcedMs) {}
}
