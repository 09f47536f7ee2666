package io.mothrill.core.forward.check;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** Checks one condition for sending a request to an upstream; has no side effects. */
@FunctionalInterface
public interface SendCheck {

  /**
   * Checks one upstream.
   *
   * @param upstream the upstream
   * @param query the request
   * @param nowMs the current time
   * @return the reason for rejecting the upstream, or empty if this check passes
   */
  Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs);
}
