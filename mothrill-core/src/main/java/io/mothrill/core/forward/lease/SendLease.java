package io.mothrill.core.forward.lease;

import java.util.OptionalInt;

/**
 * The lease of a place at an upstream, held by one request from before it is sent until it has
 * ended.
 */
public interface SendLease {

  /** Of a request to an upstream for which no lease is needed. */
  SendLease NONE =
      new SendLease() {
        @Override
        public boolean isHeld() {
          return false;
        }

        @Override
        public void onAnswer(OptionalInt requestCount, boolean isStream, boolean turnedAway) {}

        @Override
        public void abort() {}

        @Override
        public void end() {}
      };

  /**
   * Checks whether a place is leased.
   *
   * @return false for {@link #NONE}
   */
  boolean isHeld();

  /**
   * Called when the answer has begun.
   *
   * @param requestCount the number of requests running and queued at the upstream, if reported
   * @param isStream true if the answer may go on for long
   * @param turnedAway true if the request was turned away, which ends the lease
   */
  void onAnswer(OptionalInt requestCount, boolean isStream, boolean turnedAway);

  /**
   * Ends the lease of a request that was aborted, once the upstream has noticed it; {@link #end}
   * has no effect afterwards.
   */
  void abort();

  /** Ends the lease; has no effect if it was ended before. */
  void end();
}
