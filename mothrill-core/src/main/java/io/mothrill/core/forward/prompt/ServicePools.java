package io.mothrill.core.forward.prompt;

import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator.PreferredUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The division of the engines of one service, for one list of engines and one set of shares.
 *
 * <p>Also remembers the preferred engines of prefixes, as hashing a prefix with each engine of the
 * pool for each request would take a small instance more time than the rest of the selection.
 */
final class ServicePools {

  private static final PreferredUpstreams NO_PREFERENCE = new PreferredUpstreams("", "");

  /** Maximum number of prefixes remembered for each class: some hundred bytes each. */
  private static final int MAX_PREFIXES = 2_048;

  private final List<RegisteredUpstream> listed;
  private final Map<String, PoolSizes> sizesByDomain;
  private final Map<String, PromptClass> classById = new HashMap<>();
  private final Map<PromptClass, List<RegisteredUpstream>> members =
      new EnumMap<>(PromptClass.class);
  private final Map<PromptClass, Map<String, PreferredUpstreams>> preferred =
      new EnumMap<>(PromptClass.class);
  private final PrefixCacheEstimator prefixCache;

  /**
   * Creates the division.
   *
   * @param listed the list of engines that is divided
   * @param engines the engines of each failure domain, in the order in which they are divided
   * @param sizesByDomain the sizes for each failure domain that is divided
   * @param prefixCache determines the preferred engines among those of a pool
   */
  ServicePools(
      List<RegisteredUpstream> listed,
      Map<String, List<RegisteredUpstream>> engines,
      Map<String, PoolSizes> sizesByDomain,
      PrefixCacheEstimator prefixCache) {
    this.listed = listed;
    this.sizesByDomain = Map.copyOf(sizesByDomain);
    this.prefixCache = prefixCache;
    sizesByDomain.forEach((domain, sizes) -> assign(engines.get(domain), sizes));
    for (PromptClass one : PromptClass.values()) {
      members.put(
          one,
          engines.values().stream()
              .flatMap(List::stream)
              .filter(engine -> isInPool(engine, one))
              .toList());
      preferred.put(one, newLruMap());
    }
  }

  private void assign(List<RegisteredUpstream> ordered, PoolSizes sizes) {
    int next = 0;
    for (PromptClass one : PromptClass.values()) {
      int end = next + sizes.of(one);
      ordered.subList(next, end).forEach(engine -> classById.put(engine.id(), one));
      next = end;
    }
  }

  List<RegisteredUpstream> listed() {
    return listed;
  }

  Map<String, PoolSizes> sizesByDomain() {
    return sizesByDomain;
  }

  /** Counts the engines reserved for a class. */
  int engineCount(PromptClass promptClass) {
    return sizesByDomain.values().stream().mapToInt(sizes -> sizes.of(promptClass)).sum();
  }

  /**
   * Returns the class in whose pool a prompt belongs: its own one, or the nearest one with engines
   * until the demand of its own is known.
   */
  PromptClass poolFor(PromptClass promptClass) {
    Stream<PromptClass> nearestFirst =
        promptClass == PromptClass.SHORT
            ? Stream.of(PromptClass.SHORT, PromptClass.LONG, PromptClass.BULK)
            : Stream.of(promptClass, PromptClass.LONG, PromptClass.BULK, PromptClass.SHORT);
    return nearestFirst.filter(one -> !members.get(one).isEmpty()).findFirst().orElse(promptClass);
  }

  /** Checks whether an engine serves a class; an engine without a pool serves all. */
  boolean isInPool(RegisteredUpstream engine, PromptClass promptClass) {
    return classById.getOrDefault(engine.id(), promptClass) == promptClass;
  }

  /** Finds the preferred engines of a prompt's prefix within a pool. */
  PreferredUpstreams preferredFor(Prompt prompt, PromptClass pool) {
    if (!prompt.hasSharedPrefix()) {
      return NO_PREFERENCE;
    }
    Map<String, PreferredUpstreams> known = preferred.get(pool);
    String prefixId = prompt.sharedPrefixId();
    PreferredUpstreams found = known.get(prefixId);
    if (found == null) {
      found = prefixCache.preferredUpstreams(prompt, members.get(pool));
      known.put(prefixId, found);
    }
    return found;
  }

  private static Map<String, PreferredUpstreams> newLruMap() {
    return Collections.synchronizedMap(
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, PreferredUpstreams> eldest) {
            return size() > MAX_PREFIXES;
          }
        });
  }
}
