package io.mothrill.lab.experiment;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A way to keep a team's spend within its budget: the product's, or a baseline. */
interface SpendPolicy {

  /** Tokens set aside for one request. */
  interface Hold {

    void settle(long usedTokens);
  }

  /**
   * Sets tokens aside at an instance.
   *
   * @return the hold, or empty when the request is refused
   */
  CompletableFuture<Optional<Hold>> reserve(String instance, String budget, long tokens);

  /** A top-up was paid. */
  void onTopUp(String budget, long tokens);

  /** Says how many tokens an instance could get without crossing a cut. */
  long withinReachTokens(String instance, String budget);
}
