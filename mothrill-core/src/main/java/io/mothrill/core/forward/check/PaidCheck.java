package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** Nothing runs for which no tokens are set aside: a team's budget could be overspent. */
final class PaidCheck implements SendCheck {

  /** Tokens of other instances can be here after a renewal or a loan. */
  private static final long RETRY_MS = 700;

  @Override
  public Optional<Objection> objection(ServingUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.standing().paid()
        ? Optional.empty()
        : Optional.of(new Objection(Cause.TOKENS_ELSEWHERE, RETRY_MS));
  }
}
