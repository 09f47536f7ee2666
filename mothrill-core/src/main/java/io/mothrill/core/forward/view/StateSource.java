package io.mothrill.core.forward.view;

import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the declared configuration and the registered upstreams from the platform's store.
 *
 * <p>Every future may fail with {@link io.mothrill.core.platform.error.PlatformException}.
 */
public interface StateSource {

  /**
   * Reads the declared configuration.
   *
   * @param mode whether to read all rows or only changes
   * @return a consistent snapshot of the configuration
   */
  CompletableFuture<DeclaredConfig> readConfig(ReadMode mode);

  /**
   * Reads the registered upstreams.
   *
   * @param mode whether to read all rows or only changes
   * @return the upstreams
   */
  CompletableFuture<UpstreamList> readUpstreams(ReadMode mode);
}
