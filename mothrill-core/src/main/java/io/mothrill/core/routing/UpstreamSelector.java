package io.mothrill.core.routing;

import io.mothrill.core.routing.RoutingDecision.Candidate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Selects an upstream by comparing a random sample of the eligible ones and taking the one with the
 * lowest score.
 *
 * <p>A sample of two balances nearly as evenly as comparing all, and it keeps instances with
 * equally old load reports from all selecting the same upstream.
 */
public final class UpstreamSelector {

  private final List<Scorer> scorers;
  private final Random random;
  private final int sampleSize;

  /**
   * Creates the selector.
   *
   * @param scorers the selection criteria; their scores are summed
   * @param random draws the sample
   * @param sampleSize the number of upstreams to compare
   */
  public UpstreamSelector(List<Scorer> scorers, Random random, int sampleSize) {
    this.scorers = List.copyOf(scorers);
    this.random = random;
    this.sampleSize = sampleSize;
  }

  /**
   * The selected upstream together with the upstreams that were compared.
   *
   * @param upstream the selected upstream
   * @param candidates all upstreams that were compared, with their scores
   */
  public record Selection(UpstreamState upstream, List<Candidate> candidates) {}

  private record Scored(UpstreamState upstream, Candidate candidate) {}

  /**
   * Selects one of the eligible upstreams.
   *
   * @param eligible the upstreams that admit the call
   * @param request the call
   * @param nowMs the current time of the timer service, in milliseconds
   * @return the selection, or empty when no upstream is eligible
   */
  public Optional<Selection> select(
      List<UpstreamState> eligible, RoutingRequest request, long nowMs) {
    List<Scored> scored =
        sample(eligible).stream().map(upstream -> score(upstream, request, nowMs)).toList();
    return scored.stream()
        .min(Comparator.comparingDouble(entry -> entry.candidate().score()))
        .map(
            best ->
                new Selection(best.upstream(), scored.stream().map(Scored::candidate).toList()));
  }

  private List<UpstreamState> sample(List<UpstreamState> eligible) {
    if (eligible.size() <= sampleSize) {
      return eligible;
    }
    List<UpstreamState> remaining = new ArrayList<>(eligible);
    List<UpstreamState> drawn = new ArrayList<>(sampleSize);
    for (int count = 0; count < sampleSize; count++) {
      int last = remaining.size() - 1;
      int index = random.nextInt(remaining.size());
      drawn.add(remaining.get(index));
      remaining.set(index, remaining.get(last));
      remaining.remove(last);
    }
    return drawn;
  }

  private Scored score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    double score =
        scorers.stream().mapToDouble(scorer -> scorer.score(upstream, request, nowMs)).sum();
    return new Scored(upstream, new Candidate(upstream.name(), score));
  }
}
