package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** Rejects requests without reserved tokens, which could overspend a team's budget. */
final class ReservationCheck implements SendCheck {

  /** Tokens of other instances can arrive here through a renewal or a loan. */
  private static final long RETRY_MS = 700;

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.eligibility().tokensReserved()
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.TOKENS_ELSEWHERE, RETRY_MS));
  }
}
