package io.mothrill.core.forward.upstream;

import java.util.Comparator;

/**
 * The version of a registration of an upstream; the newest one counts.
 *
 * <pre>{@code
 * RegistrationVersion before = new RegistrationVersion(1_700_000_000_000L, 4);
 * before.isOlderThan(new RegistrationVersion(1_700_000_060_000L, 1)); // true: restarted later
 * }</pre>
 *
 * @param startedMs the start time of the process in Unix milliseconds; 0 if it is not reported
 * @param sequence the number of registrations by the process since its start
 */
public record RegistrationVersion(long startedMs, long sequence)
    implements Comparable<RegistrationVersion> {

  /** The version of an upstream that reports neither value. */
  public static final RegistrationVersion UNKNOWN = new RegistrationVersion(0, 0);

  private static final Comparator<RegistrationVersion> ORDER =
      Comparator.comparingLong(RegistrationVersion::startedMs)
          .thenComparingLong(RegistrationVersion::sequence);

  /**
   * Compares with another registration of the same upstream.
   *
   * @param other the other version
   * @return true if this one is older, possibly from an earlier process
   */
  public boolean isOlderThan(RegistrationVersion other) {
    return compareTo(other) < 0;
  }

  @Override
  public int compareTo(RegistrationVersion other) {
    return ORDER.compare(this, other);
  }
}
