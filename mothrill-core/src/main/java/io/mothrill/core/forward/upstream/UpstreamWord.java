package io.mothrill.core.forward.upstream;

import java.util.Comparator;

/**
 * When an upstream said something of itself: its newest word counts.
 *
 * <pre>{@code
 * UpstreamWord before = new UpstreamWord(1_700_000_000_000L, 4);
 * before.isOlderThan(new UpstreamWord(1_700_000_060_000L, 1)); // true: another start
 * }</pre>
 *
 * @param startedMs the start of its process in Unix milliseconds; 0 when it does not say so
 * @param number counts what the process has said since its start
 */
public record UpstreamWord(long startedMs, long number) implements Comparable<UpstreamWord> {

  /** The word of an upstream that tells neither. */
  public static final UpstreamWord UNTOLD = new UpstreamWord(0, 0);

  private static final Comparator<UpstreamWord> ORDER =
      Comparator.comparingLong(UpstreamWord::startedMs).thenComparingLong(UpstreamWord::number);

  /**
   * Compares with another word of the same upstream.
   *
   * @param other the other word
   * @return true when this one was said earlier, maybe by an earlier process
   */
  public boolean isOlderThan(UpstreamWord other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(UpstreamWord other) {
    return ORDER.compare(this, other);
  }
}
