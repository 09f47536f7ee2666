package io.mothrill.core.request;

import java.util.Optional;

/**
 * The outcome of a run.
 *
 * @param notRun true when the request certainly did not run
 * @param bill the bill of the run; empty when it failed
 * @param answer the answer, when it is stored
 * @param cancelBill returns the owed tokens to their pools when the run does not count
 */
public record RunOutcome(
    boolean notRun, Optional<Bill> bill, Optional<StoredAnswer> answer, Runnable cancelBill) {

  /**
   * Returns the outcome of a run that failed.
   *
   * @param notRun true when the request certainly did not run
   * @return an outcome that owes nothing
   */
  public static RunOutcome failed(boolean notRun) {
    return new RunOutcome(notRun, Optional.empty(), Optional.empty(), () -> {});
  }
}
