package io.mothrill.core.routing;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Why a call went where it went.
 *
 * @param request the call
 * @param chosen the chosen upstream's name
 * @param candidates the upstreams that were compared, with their scores
 * @param waitedMs how long the call waited for a free slot
 */
public record RoutingDecision(
    RoutingRequest request, String chosen, List<Candidate> candidates, long waitedMs) {

  /** Takes a copy of the candidates. */
  public RoutingDecision {
    candidates = List.copyOf(candidates);
  }

  /**
   * One upstream that was compared.
   *
   * @param name its name
   * @param score its score; the least is best
   */
  public record Candidate(String name, double score) {}

  /**
   * Writes the candidates for a log line.
   *
   * @return for example {@code engine-1=0.250 engine-2=0.500}
   */
  public String candidatesText() {
    return candidates.stream()
        .map(candidate -> String.format("%s=%.3f", candidate.name(), candidate.score()))
        .collect(Collectors.joining(" "));
  }
}
