package io.mothrill.core.forward.check;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamQuery;
import java.util.Map;
import java.util.Optional;

/**
 * Restricts requests with allowed regions to upstreams in those regions.
 *
 * <p>Upstreams in a failure domain whose region is not configured get none of these requests: data
 * that must not leave its region must not be sent to an unknown one.
 */
final class RegionCheck implements SendCheck {

  /** When a region has no upstreams left, new ones register within seconds. */
  private static final long RETRY_MS = 1_000;

  private final Map<String, String> regionByDomain;

  RegionCheck(Map<String, String> regionByDomain) {
    this.regionByDomain = Map.copyOf(regionByDomain);
  }

  @Override
  public Optional<Rejection> check(RegisteredUpstream upstream, UpstreamQuery query, long nowMs) {
    return query.regionRestriction().allows(regionByDomain.getOrDefault(upstream.domain(), ""))
        ? Optional.empty()
        : Optional.of(new Rejection(Cause.OUTSIDE_HOME, RETRY_MS));
  }
}
