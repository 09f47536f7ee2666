package io.mothrill.lab.experiment;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A policy that keeps spending within a budget: that of mothrill or a baseline. */
interface SpendPolicy {

  /** Tokens reserved for one request. */
  interface TokenReservation {

    void settle(long usedTokens);
  }

  /**
   * Reserves tokens at an instance.
   *
   * @return the reservation, or empty if the request is refused
   */
  CompletableFuture<Optional<TokenReservation>> reserve(
      String instance, String budget, long tokens);

  /** Called when a budget is topped up. */
  void onTopUp(String budget, long tokens);

  /** Returns the number of tokens that an instance can obtain within its side of a partition. */
  long reachableTokens(String instance, String budget);
}
