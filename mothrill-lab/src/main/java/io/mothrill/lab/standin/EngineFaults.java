package io.mothrill.lab.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults injected into an engine stand-in. */
public final class EngineFaults {

  private final AtomicInteger silentCalls = new AtomicInteger();
  private final AtomicInteger crossedCalls = new AtomicInteger();
  private final AtomicInteger extraTokens = new AtomicInteger();
  private volatile boolean leaving;

  /**
   * Leaves the next calls without a response while their connections stay open.
   *
   * @param calls the number of calls
   */
  public void fallSilent(int calls) {
    silentCalls.set(calls);
  }

  /**
   * Answers the next calls with the id of another request.
   *
   * @param calls the number of calls
   */
  public void crossAnswers(int calls) {
    crossedCalls.set(calls);
  }

  /**
   * Generates more tokens than a call's output limit allows.
   *
   * @param tokens the number of tokens beyond the limit
   */
  public void exceedCap(int tokens) {
    extraTokens.set(tokens);
  }

  /**
   * Sets whether the engine announces that it is leaving and refuses new calls as not run.
   *
   * @param now true to refuse new calls
   */
  public void leave(boolean now) {
    leaving = now;
  }

  boolean takeSilent() {
    return take(silentCalls);
  }

  boolean takeCrossed() {
    return take(crossedCalls);
  }

  int extraTokens() {
    return extraTokens.get();
  }

  boolean isLeaving() {
    return leaving;
  }

  private static boolean take(AtomicInteger left) {
    return left.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
  }
}
