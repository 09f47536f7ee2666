package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamBackoffs;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/**
 * Rejects upstreams that have requested a backoff from this instance, even when no other is left.
 */
final class BackoffCheck implements SendCheck {

  private final UpstreamBackoffs backoffs;

  BackoffCheck(UpstreamBackoffs backoffs) {
    this.backoffs = backoffs;
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    long remainingMs = backoffs.remainingMs(upstream);
    return remainingMs == 0
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.RESTING, remainingMs));
  }
}
