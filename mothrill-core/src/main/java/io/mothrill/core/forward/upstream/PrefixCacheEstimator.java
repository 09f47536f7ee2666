package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.peer.RendezvousHash;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates which prompt prefixes are in the prefix caches of which upstreams.
 *
 * <p>Rendezvous hashing assigns each shared prefix to the same preferred upstream at every
 * instance, so instances send prompts with equal prefixes to the same upstream without
 * communication. Prompts that this instance has sent elsewhere count too, for a while.
 */
public final class PrefixCacheEstimator {

  /**
   * How long a sent prompt is assumed to stay cached; engines evict the least recently used parts.
   */
  private static final long RETENTION_MS = 20_000;

  /**
   * Share of the prefix assumed to be cached at the preferred upstream if this instance has not
   * sent it.
   */
  private static final double FIRST_CACHED_SHARE = 0.85;

  /** The same for the second choice, which gets prompts that the first is too busy for. */
  private static final double SECOND_CACHED_SHARE = 0.3;

  /** Maximum number of prefixes stored per upstream: some hundred bytes each. */
  private static final int MAX_PREFIXES = 2_048;

  /** Engines read this many tokens in a few milliseconds, cached or not. */
  private static final double SMALL_PREFIX_TOKENS = 256;

  /** Share of the prompt below which its prefix hardly matters for the time to read it. */
  private static final double SMALL_PREFIX_SHARE = 0.25;

  private final Map<String, Map<String, Long>> sentAtMs = new ConcurrentHashMap<>();

  /**
   * Records that an upstream reads a prompt.
   *
   * @param prompt the prompt
   * @param incarnation the incarnation of the upstream that it is sent to
   * @param nowMs the current time
   */
  public void onSent(Prompt prompt, String incarnation, long nowMs) {
    sentAtMs.computeIfAbsent(incarnation, name -> newLruMap()).put(prompt.sharedPrefixId(), nowMs);
  }

  /**
   * The upstreams to which instances send prompts with a certain prefix unless these are too busy.
   *
   * @param first the id of the preferred upstream
   * @param second the id of the second choice; empty if there is only one upstream
   */
  public record PreferredUpstreams(String first, String second) {}

  /**
   * Finds the preferred upstreams for a prompt's prefix.
   *
   * @param prompt the prompt
   * @param upstreams all upstreams that accept requests of the service
   * @return the preferred upstreams
   */
  public PreferredUpstreams preferredUpstreams(Prompt prompt, List<RegisteredUpstream> upstreams) {
    String first = "";
    String second = "";
    double firstShare = -1;
    double secondShare = -1;
    for (RegisteredUpstream upstream : upstreams) {
      double share = RendezvousHash.normalizedScore(prompt.sharedPrefixId(), upstream.id());
      if (share > firstShare) {
        second = first;
        secondShare = firstShare;
        first = upstream.id();
        firstShare = share;
      } else if (share > secondShare) {
        second = upstream.id();
        secondShare = share;
      }
    }
    return new PreferredUpstreams(first, second);
  }

  /**
   * Estimates the number of tokens that an upstream would have to prefill.
   *
   * @param prompt the prompt
   * @param upstream the upstream
   * @param preferred the preferred upstreams for the prompt's prefix
   * @param nowMs the current time
   * @return the number of tokens
   */
  public double uncachedTokens(
      Prompt prompt, RegisteredUpstream upstream, PreferredUpstreams preferred, long nowMs) {
    double cachedShare =
        wasSent(prompt, upstream.incarnation(), nowMs) ? 1 : cachedShare(upstream.id(), preferred);
    return prompt.inputTokens() - cachedShare * sharedTokens(prompt);
  }

  /**
   * Estimates the number of tokens that an upstream has to prefill for a prompt about to be sent to
   * it.
   *
   * @param prompt the prompt
   * @param incarnation the incarnation of the upstream that it is sent to
   * @param nowMs the current time
   * @return the number of tokens; the whole prompt unless this instance has recently sent one with
   *     the same prefix there
   */
  public long uncachedTokens(Prompt prompt, String incarnation, long nowMs) {
    return wasSent(prompt, incarnation, nowMs)
        ? Math.round(prompt.inputTokens() - sharedTokens(prompt))
        : prompt.inputTokens();
  }

  /**
   * Checks whether {@link #uncachedTokens(Prompt, String, long)} is known, at least approximately,
   * rather than an upper bound.
   *
   * @param prompt the prompt
   * @param incarnation the incarnation of the upstream
   * @param nowMs the current time
   * @return true if this instance has recently sent the prefix there, or if the prefix is small
   */
  public boolean isUncachedPartKnown(Prompt prompt, String incarnation, long nowMs) {
    double approximateTokens =
        Math.max(SMALL_PREFIX_TOKENS, SMALL_PREFIX_SHARE * prompt.inputTokens());
    return sharedTokens(prompt) <= approximateTokens || wasSent(prompt, incarnation, nowMs);
  }

  private static double cachedShare(String upstreamId, PreferredUpstreams preferred) {
    if (upstreamId.equals(preferred.first())) {
      return FIRST_CACHED_SHARE;
    }
    return upstreamId.equals(preferred.second()) ? SECOND_CACHED_SHARE : 0;
  }

  /**
   * Removes upstreams that are no longer registered.
   *
   * @param list the registered upstreams
   */
  public void retain(UpstreamList list) {
    sentAtMs.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }

  private boolean wasSent(Prompt prompt, String incarnation, long nowMs) {
    Long atMs = sentAtMs.getOrDefault(incarnation, Map.of()).get(prompt.sharedPrefixId());
    return atMs != null && nowMs - atMs < RETENTION_MS;
  }

  private static double sharedTokens(Prompt prompt) {
    return prompt.parts().stream()
        .limit(Math.max(0, prompt.parts().size() - 1))
        .mapToLong(Prompt.Part::tokens)
        .sum();
  }

  private static Map<String, Long> newLruMap() {
    return Collections.synchronizedMap(
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PREFIXES;
          }
        });
  }
}
