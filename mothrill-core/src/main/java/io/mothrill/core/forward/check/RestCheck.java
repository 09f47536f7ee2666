package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RestingUpstreams;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** An upstream that has asked this instance for rest gets nothing, also where no other is left. */
final class RestCheck implements SendCheck {

  private final RestingUpstreams resting;

  RestCheck(RestingUpstreams resting) {
    this.resting = resting;
  }

  @Override
  public Optional<Objection> objection(ServingUpstream upstream, UpstreamQuery query, long nowMs) {
    long leftMs = resting.leftMs(upstream);
    return leftMs == 0 ? Optional.empty() : Optional.of(new Objection(Cause.RESTING, leftMs));
  }
}
