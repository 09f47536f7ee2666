package io.mothrill.core.forward.check;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** One reason for which a request may not be sent to an upstream; asking changes nothing. */
@FunctionalInterface
public interface SendCheck {

  /**
   * Asks about one upstream.
   *
   * @param upstream the upstream
   * @param query the request
   * @param nowMs the time
   * @return what stands in the way, or empty when this reason does not
   */
  Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs);
}
