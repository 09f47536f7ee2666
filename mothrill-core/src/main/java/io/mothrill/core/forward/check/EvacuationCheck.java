package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;
import java.util.Set;

/**
 * Rejects upstreams in a failure domain that operators are evacuating.
 *
 * <p>Requests already in flight there are left to complete. The check runs again right before a
 * request is written, because the request may have waited for a connection in the meantime.
 */
final class EvacuationCheck implements SendCheck {

  /**
   * The end of an evacuation is not known in advance; one retry per second is a negligible load.
   */
  private static final long RETRY_MS = 1_000;

  private final PublishedValue<Set<String>> evacuatedDomains;

  EvacuationCheck(PublishedValue<Set<String>> evacuatedDomains) {
    this.evacuatedDomains = evacuatedDomains;
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return evacuatedDomains.read().contains(upstream.domain())
        ? Optional.of(new Rejection(Cause.EVACUATED, RETRY_MS))
        : Optional.empty();
  }
}
