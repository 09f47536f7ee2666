package io.mothrill.core.forward.crash;

/**
 * A crash of an upstream while it was running a request.
 *
 * @param incarnation the incarnation of the upstream that crashed
 * @param reporter the instance that detected the crash
 * @param atMs the time of the crash on this instance's monotonic clock
 */
public record Crash(String incarnation, String reporter, long atMs) {

  /**
   * Reports of the same crash arrive within this time, which is shorter than the restart of an
   * upstream. Not every upstream reports its start time, so several of its processes may share one
   * incarnation name.
   */
  private static final long DUPLICATE_WINDOW_MS = 1_000;

  /**
   * Checks whether an earlier report describes the same crash.
   *
   * @param earlier a report that is not later than this one
   * @return true if both describe the same crash of the same process
   */
  boolean isDuplicateOf(Crash earlier) {
    return earlier.incarnation.equals(incarnation) && atMs - earlier.atMs < DUPLICATE_WINDOW_MS;
  }

  /**
   * Checks whether another report describes the same crash, whichever of them is earlier.
   *
   * @param other the other report
   * @return true if both describe the same crash of the same process
   */
  boolean isSameAs(Crash other) {
    return atMs >= other.atMs ? isDuplicateOf(other) : other.isDuplicateOf(this);
  }
}
