package io.mothrill.core.forward.permit;

import io.mothrill.core.forward.upstream.ServingUpstream;
import java.util.Optional;

/** One reason for which upstreams take only so much, and how much that is. */
public interface Allowances {

  /**
   * Says what an upstream takes now.
   *
   * @param upstream the upstream
   * @return the allowance; empty when this reason does not bound it
   */
  Optional<Allowance> of(ServingUpstream upstream);

  /**
   * Says when a caller may come back that found no permit.
   *
   * @param upstream an upstream that is bounded
   * @return milliseconds from now
   */
  long retryAfterMs(ServingUpstream upstream);
}
