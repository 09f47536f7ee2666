package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/**
 * An upstream that leaves, has left or was started anew since it was chosen gets nothing.
 *
 * <p>The list may be older than what the upstream has said in an answer; either is enough.
 */
final class AvailabilityCheck implements SendCheck {

  /** Those that follow it register within seconds. */
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
