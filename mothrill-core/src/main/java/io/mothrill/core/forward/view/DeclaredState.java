package io.mothrill.core.forward.view;

import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store, as far as it says what operators declare and which upstreams are there.
 *
 * <p>Every future may fail with {@link io.mothrill.core.platform.error.PlatformException}.
 */
public interface DeclaredState {

  /**
   * Reads the newest plan.
   *
   * @return the plan, or empty when none was declared yet
   */
  CompletableFuture<Optional<ForwardingPlan>> readPlan();

  /**
   * Reads the registered upstreams.
   *
   * @return the upstreams
   */
  CompletableFuture<UpstreamList> readUpstreams();
}
