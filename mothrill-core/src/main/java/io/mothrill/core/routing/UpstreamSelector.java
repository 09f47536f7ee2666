package io.mothrill.core.routing;

import io.mothrill.core.routing.RoutingDecision.Candidate;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses an upstream: compares a few that have room, and takes the one with the least score.
 *
 * <p>Comparing two at random is nearly as even as comparing all, and it does not send every
 * instance to the same upstream when their load reports are equally old.
 */
public final class UpstreamSelector {

  private final List<Scorer> scorers;
  private final Random random;
  private final int sampleSize;

  /**
   * Creates the chooser.
   *
   * @param scorers the reasons to prefer an upstream; their scores are added
   * @param random picks whom to compare
   * @param sampleSize how many to compare
   */
  public UpstreamSelector(List<Scorer> scorers, Random random, int sampleSize) {
    this.scorers = List.copyOf(scorers);
    this.random = random;
    this.sampleSize = sampleSize;
  }

  /**
   * The upstream that was chosen, with those that it was compared with.
   *
   * @param upstream the chosen upstream
   * @param candidates all that were compared
   */
  public record Selection(UpstreamState upstream, List<Candidate> candidates) {}

  private record Scored(UpstreamState upstream, Candidate candidate) {}

  /**
   * Chooses among upstreams that have room.
   *
   * @param eligible upstreams that may get the call
   * @param request the call
   * @param nowMs the time
   * @return the choice, or empty when there are none
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
    List<UpstreamState> left = new ArrayList<>(eligible);
    List<UpstreamState> taken = new ArrayList<>(sampleSize);
    for (int count = 0; count < sampleSize; count++) {
      int last = left.size() - 1;
      int index = random.nextInt(left.size());
      taken.add(left.get(index));
      left.set(index, left.get(last));
      left.remove(last);
    }
    return taken;
  }

  private Scored score(UpstreamState upstream, RoutingRequest request, long nowMs) {
    double score =
        scorers.stream().mapToDouble(scorer -> scorer.score(upstream, request, nowMs)).sum();
    return new Scored(upstream, new Candidate(upstream.name(), score));
  }
}
