package io.mothrill.core.forward.check;

import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** Limits the requests that all instances together send to an upstream with a rate limit. */
final class PermitCheck implements SendCheck {

  private final SendPermits permits;
  private final Cause cause;

  PermitCheck(SendPermits permits, Cause cause) {
    this.permits = permits;
    this.cause = cause;
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return permits.hasPermit(upstream)
        ? Optional.empty()
        : Optional.of(new Rejection(cause, permits.retryAfterMs(upstream)));
  }
}
