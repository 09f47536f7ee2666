package io.mothrill.core.request;

import java.util.Optional;

/**
 * What came of a run.
 *
 * @param notRun true when the request surely did not run
 * @param bill what it owes; empty when it failed
 * @param answer its answer, when there is one to keep
 * @param cancelBill puts the owed tokens back when the run turns out not to count
 */
public record RunOutcome(
    boolean notRun, Optional<Bill> bill, Optional<StoredAnswer> answer, Runnable cancelBill) {

  /**
   * Describes a run that failed.
   *
   * @param notRun true when the request surely did not run
   * @return an outcome that owes nothing
   */
  public static RunOutcome failed(boolean notRun) {
    return new RunOutcome(notRun, Optional.empty(), Optional.empty(), () -> {});
  }
}
