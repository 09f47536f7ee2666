package io.mothrill.core.routing;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A routing decision and the scores that led to it.
 *
 * @param request the call
 * @param chosen the name of the selected upstream
 * @param candidates the upstreams that were compared, with their scores
 * @param waitedMs how long the call waited for a free slot
 */
public record RoutingDecision(
    RoutingRequest request, String chosen, List<Candidate> candidates, long waitedMs) {

  /** Copies the candidates. */
  public RoutingDecision {
    candidates = List.copyOf(candidates);
  }

  /**
   * One upstream that was compared.
   *
   * @param name its name
   * @param score its score; the lowest is best
   */
  public record Candidate(String name, double score) {}

  /**
   * Formats the candidates for a log line.
   *
   * @return for example {@code engine-1=0.250 engine-2=0.500}
   */
  public String candidatesText() {
    return candidates.stream()
        .map(candidate -> String.format("%s=%.3f", candidate.name(), candidate.score()))
        .collect(Collectors.joining(" "));
  }
}
