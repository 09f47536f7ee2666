package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/**
 * Rejects upstreams that are leaving, have left or have restarted since they were selected.
 *
 * <p>The registered list may be older than what the upstream has announced in a response, so either
 * source is enough to reject it.
 */
final class AvailabilityCheck implements SendCheck {

  /** Replacement upstreams register within seconds. */
  private static final long RETRY_MS = 700;

  private final PublishedValue<UpstreamList> list;
  private final LeavingUpstreams leaving;

  AvailabilityCheck(PublishedValue<UpstreamList> list, LeavingUpstreams leaving) {
    this.list = list;
    this.leaving = leaving;
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return list.read().isAccepting(upstream) && !leaving.isLeaving(upstream)
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.NO_UPSTREAM, RETRY_MS));
  }
}
