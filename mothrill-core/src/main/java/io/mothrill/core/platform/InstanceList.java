package io.mothrill.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances; it is eventually consistent. */
public interface InstanceList {

  /**
   * Registers an instance, or updates its record.
   *
   * @param instance the current record of the instance
   * @return completes when the list has accepted it
   */
  CompletableFuture<Void> announce(InstanceRecord instance);

  /**
   * Returns the list.
   *
   * @return the instances known to the platform
   */
  CompletableFuture<List<InstanceRecord>> list();
}
