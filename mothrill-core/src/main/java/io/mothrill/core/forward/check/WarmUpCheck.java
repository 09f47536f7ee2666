package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import io.mothrill.core.forward.warmup.WarmUpPermits;
import java.util.Optional;

/** An upstream that warms up gets no more than all instances together may send it. */
final class WarmUpCheck implements SendCheck {

  private final WarmUpPermits permits;

  WarmUpCheck(WarmUpPermits permits) {
    this.permits = permits;
  }

  @Override
  public Optional<Objection> objection(ServingUpstream upstream, UpstreamQuery query, long nowMs) {
    return permits.hasPermit(upstream)
        ? Optional.empty()
        : Optional.of(new Objection(Cause.WARMING_UP, permits.retryAfterMs(upstream)));
  }
}
