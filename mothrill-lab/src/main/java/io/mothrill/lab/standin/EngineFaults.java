package io.mothrill.lab.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults injected into an engine stand-in. */
public final class EngineFaults {

  private final AtomicInteger stalledCalls = new AtomicInteger();
  private final AtomicInteger misattributedCalls = new AtomicInteger();
  private final AtomicInteger extraTokens = new AtomicInteger();
  private volatile boolean leaving;

  /**
   * Leaves the next calls without a response while their connections stay open.
   *
   * @param calls the number of calls
   */
  public void stallNextCalls(int calls) {
    stalledCalls.set(calls);
  }

  /**
   * Answers the next calls with the id of another request.
   *
   * @param calls the number of calls
   */
  public void misattributeNextAnswers(int calls) {
    misattributedCalls.set(calls);
  }

  /**
   * Generates more tokens than a call's output limit allows.
   *
   * @param tokens the number of tokens beyond the limit
   */
  public void exceedOutputLimit(int tokens) {
    extraTokens.set(tokens);
  }

  /**
   * Sets whether the engine announces that it is leaving and refuses new calls as not run.
   *
   * @param newLeaving true to refuse new calls
   */
  public void setLeaving(boolean newLeaving) {
    leaving = newLeaving;
  }

  boolean consumeStall() {
    return consume(stalledCalls);
  }

  boolean consumeMisattribution() {
    return consume(misattributedCalls);
  }

  int extraTokens() {
    return extraTokens.get();
  }

  boolean isLeaving() {
    return leaving;
  }

  private static boolean consume(AtomicInteger remaining) {
    return remaining.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
  }
}
