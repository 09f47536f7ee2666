package io.mothrill.core.forward.admission;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoad;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import java.util.Set;

/**
 * Estimates the occupancy from load reports and own requests in flight.
 *
 * <p>Reports lose weight with their age, and upstreams without a report count as free apart from
 * own requests. When reports stop, the service is therefore taken for free after a second and a
 * half, and nothing is refused.
 */
public final class ReportedOccupancy implements OccupancySource {

  private static final double MIN_QUEUED = 0.5;

  private final PublishedValue<UpstreamList> list;
  private final PublishedValue<Set<String>> evacuatedDomains;
  private final UpstreamLoads loads;

  /**
   * Creates the source.
   *
   * @param list the registered upstreams
   * @param evacuatedDomains the failure domains whose upstreams get no new requests
   * @param loads the known loads of upstreams
   */
  public ReportedOccupancy(
      PublishedValue<UpstreamList> list,
      PublishedValue<Set<String>> evacuatedDomains,
      UpstreamLoads loads) {
    this.list = list;
    this.evacuatedDomains = evacuatedDomains;
    this.loads = loads;
  }

  @Override
  public Occupancy read(String service, long nowMs) {
    Set<String> evacuated = evacuatedDomains.read();
    return list.read().acceptingFor(service).stream()
        .filter(upstream -> !evacuated.contains(upstream.domain()))
        .map(upstream -> occupancyOf(upstream, nowMs))
        .reduce(
            new Occupancy(0, 0, 0),
            (sum, one) ->
                new Occupancy(
                    sum.slots() + one.slots(),
                    sum.taken() + one.taken(),
                    sum.queued() + one.queued()));
  }

  private Occupancy occupancyOf(RegisteredUpstream upstream, long nowMs) {
    UpstreamLoad load = loads.of(upstream.incarnation());
    int slots = Math.max(1, upstream.slots());
    double queued = load.estimatedQueued(nowMs);
    double taken =
        queued >= MIN_QUEUED ? slots : Math.min(slots, Math.max(0, load.estimatedCount(nowMs)));
    return new Occupancy(slots, taken, queued);
  }
}
