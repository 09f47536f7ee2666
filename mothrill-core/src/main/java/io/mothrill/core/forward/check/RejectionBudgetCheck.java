package io.mothrill.core.forward.check;

import io.mothrill.core.forward.limit.RejectionBudgets;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/** Rejects brittle upstreams that cannot turn away any more requests of this instance. */
final class RejectionBudgetCheck implements SendCheck {

  private final RejectionBudgets budgets;

  RejectionBudgetCheck(RejectionBudgets budgets) {
    this.budgets = budgets;
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.eligibility().isLeased() || budgets.hasRoom(upstream)
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.LIMITED, budgets.retryAfterMs(upstream)));
  }
}
