package io.mothrill.core.budget;

import java.util.concurrent.CompletableFuture;

/** Somewhere an account can get tokens from: the platform, or another instance. */
public interface TokenSource {

  /** How a source answered. */
  enum Result {
    /** Tokens were added to the account. */
    ADDED,
    /** The source was reached and has none to give. */
    EMPTY,
    /** The source was not reached, or did not answer. */
    UNREACHABLE
  }

  /**
   * Asks for tokens and adds what comes to the account.
   *
   * @param account the account
   * @param demand what it lacks
   * @return how the source answered; never fails
   */
  CompletableFuture<Result> requestTokens(BudgetAccount account, TokenDemand demand);
}
