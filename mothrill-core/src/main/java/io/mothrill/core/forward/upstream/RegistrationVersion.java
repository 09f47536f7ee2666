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
 * @param sequence counts what the process has said since its start
 */
public record RegistrationVersion(long startedMs, long sequence)
    implements Comparable<RegistrationVersion> {

  /** The word of an upstream that tells neither. */
  public static final RegistrationVersion UNKNOWN = new RegistrationVersion(0, 0);

  private static final Comparator<RegistrationVersion> ORDER =
      Comparator.comparingLong(RegistrationVersion::startedMs)
          .thenComparingLong(RegistrationVersion::sequence);

  /**
   * Compares with another word of the same upstream.
   *
   * @param other the other word
   * @return true when this one was said earlier, maybe by an earlier process
   */
  public boolean isOlderThan(RegistrationVersion other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(RegistrationVersion other) {
    return ORDER.compare(this, other);
  }
}
