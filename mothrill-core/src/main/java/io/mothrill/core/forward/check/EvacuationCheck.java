package io.mothrill.core.forward.check;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;
import java.util.Set;

/**
 * Upstreams of a failure domain that operators are emptying get nothing new.
 *
 * <p>What is under way there ends by itself. This is asked once more right before a request is
 * written, as one may have waited for a connection meanwhile.
 */
final class EvacuationCheck implements SendCheck {

  /** Nobody knows when a domain is taken back; a caller that asks once a second does no harm. */
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
