package io.mothrill.core.forward.permit;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/** One kind of rate limits for upstreams. */
public interface RateLimits {

  /**
   * Finds the current limit of an upstream.
   *
   * @param upstream the upstream
   * @return the limit; empty if there is none of this kind
   */
  Optional<RateLimit> find(RegisteredUpstream upstream);

  /**
   * Returns the time after which a caller that got no permit may retry.
   *
   * @param upstream an upstream with a limit
   * @return milliseconds from now
   */
  long retryAfterMs(RegisteredUpstream upstream);
}
