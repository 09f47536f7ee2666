package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Optional;

/**
 * Restricts the continuation of a stream to upstreams of the software version that began it.
 *
 * <p>What two versions write does not fit together, and upstreams do not check it.
 */
final class VersionCheck implements SendCheck {

  /** Upstreams that have crashed start again within seconds, with the version that they had. */
  private static final long RETRY_MS = 1_000;

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.requiredVersion().filter(version -> !version.equals(upstream.version())).isEmpty()
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.OTHER_VERSION, RETRY_MS));
  }
}
