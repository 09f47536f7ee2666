package io.mothrill.core.forward.view;

import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store, as far as it says what operators declare and which upstreams are there.
 *
 * <p>Every future may fail with {@link io.mothrill.core.platform.error.PlatformException}.
 */
public interface StateSource {

  /**
   * Reads what operators have declared.
   *
   * @param extent how much has to be read for it
   * @return the plan and what goes with it, as of one moment
   */
  CompletableFuture<DeclaredConfig> readConfig(ReadMode extent);

  /**
   * Reads the registered upstreams.
   *
   * @param extent how much has to be read for it
   * @return the upstreams
   */
  CompletableFuture<UpstreamList> readUpstreams(ReadMode extent);
}
