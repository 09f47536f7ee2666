package io.mothrill.core.forward.crash;

/**
 * One upstream that ended while it had a certain request.
 *
 * @param incarnation the start of the upstream that ended
 * @param reporter the instance that saw it
 * @param atMs when, by this instance's steady clock
 */
public record Crash(String incarnation, String reporter, long atMs) {

  /**
   * Reports of one crash are so close together; an upstream that ends takes longer to be back. Not
   * every upstream tells its start, so one name may stand for several of its processes.
   */
  private static final long DUPLICATE_WINDOW_MS = 1_000;

  /**
   * Says whether an earlier report is about this same crash.
   *
   * @param earlier a report of no later time
   * @return true when both mean the same end of the same process
   */
  boolean isDuplicateOf(Crash earlier) {
    return earlier.incarnation.equals(incarnation) && atMs - earlier.atMs < DUPLICATE_WINDOW_MS;
  }
}
