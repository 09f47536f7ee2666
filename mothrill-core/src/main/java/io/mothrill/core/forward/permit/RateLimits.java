package io.mothrill.core.forward.permit;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/** One reason for which upstreams take only so much, and how much that is. */
public interface RateLimits {

  /**
   * Says what an upstream takes now.
   *
   * @param upstream the upstream
   * @return the allowance; empty when this reason does not bound it
   */
  Optional<RateLimit> find(RegisteredUpstream upstream);

  /**
   * Says when a caller may come back that found no permit.
   *
   * @param upstream an upstream that is bounded
   * @return milliseconds from now
   */
  long retryAfterMs(RegisteredUpstream upstream);
}
