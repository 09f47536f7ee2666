package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** No upstream works for a caller who will have gone before the answer. */
final class TimeLeftCheck implements SendCheck {

  /** About when the requests that were in the way have ended. */
  private static final long RETRY_MS = 400;

  @Override
  public Optional<Objection> objection(ServingUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.standing().endMs() - nowMs < SendChecks.MIN_LEFT_MS
        ? Optional.of(new Objection(Cause.NOT_SENT_IN_TIME, RETRY_MS))
        : Optional.empty();
  }
}
