package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/**
 * Rejects a request under which several upstreams have crashed, as it would crash the next one too.
 */
final class QuarantineCheck implements SendCheck {

  /** A crashed upstream is back after some seconds; the request itself stays refused longer. */
  private static final long RETRY_MS = 5_000;

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.eligibility().quarantined().getAsBoolean()
        ? Optional.of(new Rejection(Cause.CRASHES_UPSTREAMS, RETRY_MS))
        : Optional.empty();
  }
}
