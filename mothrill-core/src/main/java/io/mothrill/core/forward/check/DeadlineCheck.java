package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** Rejects a request whose caller will have disconnected before the upstream can answer. */
final class DeadlineCheck implements SendCheck {

  /** Approximate time until the requests that delayed this one have completed. */
  private static final long RETRY_MS = 400;

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.eligibility().deadlineMs() - nowMs < SendChecks.MIN_REMAINING_MS
        ? Optional.of(new Rejection(Cause.NOT_SENT_IN_TIME, RETRY_MS))
        : Optional.empty();
  }
}
