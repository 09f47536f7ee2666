package io.mothrill.core.range;

import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.request.StoredAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * The decisions made in a range.
 *
 * @param claims the claims of unrepeatable requests
 * @param runs the ends of runs that count
 */
public record RangeContent(List<SoleClaim> claims, List<FinishRequest> runs) {

  private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

  /** Copies the lists. */
  public RangeContent {
    claims = List.copyOf(claims);
    runs = List.copyOf(runs);
  }

  /**
   * Combines this content with other content.
   *
   * @param other the other content
   * @return the combined content
   */
  public RangeContent and(RangeContent other) {
    return new RangeContent(
        Stream.concat(claims.stream(), other.claims().stream()).distinct().toList(),
        Stream.concat(runs.stream(), other.runs().stream()).toList());
  }

  /**
   * Removes answers that would make a message too large. The decisions are retained.
   *
   * @return the content with the answers that fit
   */
  public RangeContent trimmed() {
    long leftBytes = MAX_ANSWER_BYTES;
    List<FinishRequest> trimmedRuns = new ArrayList<>();
    for (FinishRequest run : runs) {
      long bytes = run.answer().map(StoredAnswer::body).map(body -> body.length).orElse(0);
      trimmedRuns.add(bytes <= leftBytes ? run : run.withoutAnswer());
      leftBytes -= bytes <= leftBytes ? bytes : 0;
    }
    return new RangeContent(claims, trimmedRuns);
  }
}
