package io.mothrill.core.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving instances; it lags behind the truth. */
public interface InstanceList {

  /**
   * Announces an instance, or changes what is known of it.
   *
   * @param instance the instance as it describes itself
   * @return completes when the list has taken it
   */
  CompletableFuture<Void> announce(InstanceRecord instance);

  /**
   * Reads the list.
   *
   * @return the instances known to the platform
   */
  CompletableFuture<List<InstanceRecord>> list();
}
