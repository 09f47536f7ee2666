package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Map;
import java.util.Optional;

/**
 * Requests with home regions are worked on there and nowhere else.
 *
 * <p>An upstream in a domain whose region nobody has told gets none of them: what may not leave its
 * region must not go where the region is a guess.
 */
final class RegionCheck implements SendCheck {

  /** Upstreams of a region that has none left register again within seconds. */
  private static final long RETRY_MS = 1_000;

  private final Map<String, String> regionByDomain;

  RegionCheck(Map<String, String> regionByDomain) {
    this.regionByDomain = Map.copyOf(regionByDomain);
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.allowedRegions().allows(regionByDomain.getOrDefault(upstream.domain(), ""))
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.OUTSIDE_HOME, RETRY_MS));
  }
}
