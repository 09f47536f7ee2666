package io.mothrill.core.fake;

import io.mothrill.core.platform.ObjectStore;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** An in-memory object store. */
public final class FakeObjectStore implements ObjectStore {

  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final FaultInjector faults;

  /**
   * Creates an empty store.
   *
   * @param timers the timer service
   */
  public FakeObjectStore(Timers timers) {
    this.faults = new FaultInjector(timers);
  }

  /**
   * Returns the fault injector of this store.
   *
   * @return the fault injector
   */
  public FaultInjector faults() {
    return faults;
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    return faults.call(
        "put",
        () -> {
          objects.put(name, content.clone());
          return null;
        });
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return faults.call("get", () -> Optional.ofNullable(objects.get(name)).map(byte[]::clone));
  }
}
