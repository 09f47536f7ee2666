package io.mothrill.lab.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** What an engine stand-in does wrong. */
public final class EngineFaults {

  private final AtomicInteger silentCalls = new AtomicInteger();
  private final AtomicInteger crossedCalls = new AtomicInteger();
  private final AtomicInteger extraTokens = new AtomicInteger();
  private volatile boolean leaving;

  /**
   * Lets the next calls go unanswered, though their connections stay open.
   *
   * @param calls how many
   */
  public void fallSilent(int calls) {
    silentCalls.set(calls);
  }

  /**
   * Answers the next calls under another request's id.
   *
   * @param calls how many
   */
  public void crossAnswers(int calls) {
    crossedCalls.set(calls);
  }

  /**
   * Lets answers be longer than their cap.
   *
   * @param tokens by how many tokens
   */
  public void exceedCap(int tokens) {
    extraTokens.set(tokens);
  }

  /**
   * Refuses new calls as not run, because the engine is leaving.
   *
   * @param now true from now on
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
