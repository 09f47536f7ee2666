package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.peer.RendezvousHash;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates which upstream keeps which shared parts of prompts in its memory.
 *
 * <p>Each subject has one home among the upstreams, the same at every instance, so instances send
 * equal beginnings to the same upstream without talking to each other. What this instance has sent
 * elsewhere counts as well, for a while.
 */
public final class PrefixCacheEstimator {

  /** How long a sent prompt is taken to be kept; engines drop the least recently used parts. */
  private static final long RETENTION_MS = 20_000;

  /**
   * Share of the shared parts that a home is taken to keep when this instance has not sent them.
   */
  private static final double FIRST_CACHED_SHARE = 0.85;

  /** The same for the second home, which gets what the first is too busy for. */
  private static final double SECOND_CACHED_SHARE = 0.3;

  /** Subjects remembered for each upstream: some hundred bytes each. */
  private static final int MAX_PREFIXES = 2_048;

  private final Map<String, Map<String, Long>> sentAtMs = new ConcurrentHashMap<>();

  /**
   * Notes that an upstream reads a prompt.
   *
   * @param prompt the prompt
   * @param incarnation the start of the upstream that it is sent to
   * @param nowMs the time
   */
  public void onSent(Prompt prompt, String incarnation, long nowMs) {
    sentAtMs.computeIfAbsent(incarnation, name -> newLruMap()).put(prompt.sharedPrefixId(), nowMs);
  }

  /**
   * The upstreams that instances send a subject to, as long as they are not too busy.
   *
   * @param first the id of the one that is preferred
   * @param second the id of the next one; empty when there is only one
   */
  public record PreferredUpstreams(String first, String second) {}

  /**
   * Finds the homes of a prompt's subject.
   *
   * @param prompt the prompt
   * @param upstreams all upstreams that take requests of the service
   * @return the homes
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
   * Estimates what an upstream would have to read.
   *
   * @param prompt the prompt
   * @param upstream the upstream
   * @param homes the homes of the prompt's subject
   * @param nowMs the time
   * @return tokens
   */
  public double uncachedTokens(
      Prompt prompt, RegisteredUpstream upstream, PreferredUpstreams homes, long nowMs) {
    double kept =
        wasSent(prompt, upstream.incarnation(), nowMs) ? 1 : cachedShare(upstream.id(), homes);
    return prompt.inputTokens() - kept * sharedTokens(prompt);
  }

  /**
   * Estimates what an upstream has to read for a prompt that is about to be sent to it.
   *
   * @param prompt the prompt
   * @param incarnation the start of the upstream that it is sent to
   * @param nowMs the time
   * @return tokens; all of the prompt unless this instance has sent its like there lately
   */
  public long uncachedTokens(Prompt prompt, String incarnation, long nowMs) {
    return wasSent(prompt, incarnation, nowMs)
        ? Math.round(prompt.inputTokens() - sharedTokens(prompt))
        : prompt.inputTokens();
  }

  private static double cachedShare(String upstreamId, PreferredUpstreams homes) {
    if (upstreamId.equals(homes.first())) {
      return FIRST_CACHED_SHARE;
    }
    return upstreamId.equals(homes.second()) ? SECOND_CACHED_SHARE : 0;
  }

  /**
   * Forgets upstreams that have gone.
   *
   * @param list those that are there
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
