package io.mothrill.core.budget;

import java.util.concurrent.CompletableFuture;

/** A source from which an account can get tokens: the platform or another instance. */
public interface TokenSource {

  /** The result of a request to a source. */
  enum Result {
    /** The source added tokens to the account. */
    ADDED,
    /** The source was reached and has no tokens to give. */
    EMPTY,
    /** The source was not reached or did not respond. */
    UNREACHABLE
  }

  /**
   * Requests tokens and adds those received to the account.
   *
   * @param account the account
   * @param demand the demand of the account
   * @return the result; never fails
   */
  CompletableFuture<Result> requestTokens(BudgetAccount account, TokenDemand demand);
}
