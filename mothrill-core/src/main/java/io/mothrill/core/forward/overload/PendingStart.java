package io.mothrill.core.forward.overload;

/** A received request that waits to be started. */
public interface PendingStart {

  /**
   * Checks whether the caller is still connected.
   *
   * @return false if nobody waits for the answer any more
   */
  boolean isCallerConnected();

  /**
   * Returns when the request was received.
   *
   * @return the time at which its head was read
   */
  long receivedMs();

  /**
   * Determines what the order of starts depends on; called only while requests wait.
   *
   * @return the terms
   */
  Terms startTerms();

  /**
   * What the order of starts depends on.
   *
   * @param urgency the priority of its team or route; 0 is the most urgent
   * @param deadlineMs when the caller must have the answer
   */
  record Terms(int urgency, long deadlineMs) {}
}
