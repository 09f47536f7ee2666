package io.mothrill.core.forward.prompt;

import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.peer.RendezvousHash;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/** The division of one service's engines, which follows its demand and its list of engines. */
final class PoolDivision {

  /**
   * Time for which the demand of a service is observed before its engines are divided, so that a
   * new instance does not divide them by its first few prompts.
   */
  private static final long MIN_OBSERVED_MS = 5_000;

  private final String service;
  private final PrefixCacheEstimator prefixCache;
  private final long startedMs;
  private final PromptDemand demand;
  private DemandShares sharesInUse = DemandShares.none();
  private Map<String, List<RegisteredUpstream>> orderedByDomain = Map.of();
  private volatile ServicePools pools;

  PoolDivision(String service, PrefixCacheEstimator prefixCache, long nowMs) {
    this.service = service;
    this.prefixCache = prefixCache;
    this.startedMs = nowMs;
    this.demand = new PromptDemand(nowMs);
    this.pools = new ServicePools(List.of(), Map.of(), Map.of(), prefixCache);
  }

  PromptDemand demand() {
    return demand;
  }

  ServicePools current() {
    return pools;
  }

  /** Returns the division of a list of engines; computed anew only for another list. */
  ServicePools poolsOf(List<RegisteredUpstream> listed) {
    ServicePools known = pools;
    return listed == known.listed() ? known : divideList(listed);
  }

  private synchronized ServicePools divideList(List<RegisteredUpstream> listed) {
    orderedByDomain =
        listed.stream()
            .collect(Collectors.groupingBy(RegisteredUpstream::domain))
            .entrySet()
            .stream()
            .collect(Collectors.toMap(Map.Entry::getKey, domain -> ordered(domain.getValue())));
    pools = divide(listed, sharesInUse);
    return pools;
  }

  private List<RegisteredUpstream> ordered(List<RegisteredUpstream> ofDomain) {
    Map<String, Double> scores =
        ofDomain.stream()
            .collect(
                Collectors.toMap(
                    RegisteredUpstream::id,
                    engine -> RendezvousHash.normalizedScore(service, engine.id())));
    return ofDomain.stream()
        .sorted(
            Comparator.comparingDouble((RegisteredUpstream engine) -> scores.get(engine.id()))
                .thenComparing(RegisteredUpstream::id))
        .toList();
  }

  private ServicePools divide(List<RegisteredUpstream> listed, DemandShares shares) {
    Map<String, PoolSizes> sizes =
        orderedByDomain.keySet().stream()
            .filter(domain -> !shares.isEmpty())
            .filter(domain -> orderedByDomain.get(domain).size() >= PoolSizes.MIN_ENGINES)
            .collect(
                Collectors.toMap(
                    Function.identity(),
                    domain -> PoolSizes.divide(shares, orderedByDomain.get(domain).size())));
    return new ServicePools(listed, orderedByDomain, sizes, prefixCache);
  }

  /**
   * Adapts the division to the demand.
   *
   * @param nowMs the current time
   * @param instanceCount the number of instances whose notices reach this one, including itself
   * @return true if a boundary was moved
   */
  synchronized boolean update(long nowMs, int instanceCount) {
    demand.decay(nowMs);
    DemandShares wanted = demand.shares(instanceCount);
    if (nowMs - startedMs < MIN_OBSERVED_MS || wanted.isEmpty() || !isOutdated(wanted)) {
      return false;
    }
    Map<String, PoolSizes> before = pools.sizesByDomain();
    ServicePools next = divide(pools.listed(), wanted);
    sharesInUse = wanted;
    if (next.sizesByDomain().equals(before)) {
      return false;
    }
    pools = next;
    Logger.info(
        "prompt pools changed service={} now={} before={}", service, next.sizesByDomain(), before);
    return true;
  }

  private boolean isOutdated(DemandShares wanted) {
    return sharesInUse.isEmpty()
        || pools.sizesByDomain().values().stream().anyMatch(sizes -> sizes.isOutdated(wanted));
  }
}
