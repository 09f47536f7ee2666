package io.mothrill.core.error;

import java.util.concurrent.CompletionException;

/** Helps to read the errors of futures. */
public final class Failures {

  private Failures() {}

  /**
   * Takes away the wrapper that a future puts around its error.
   *
   * @param error the error as a callback received it
   * @return the error that the future was failed with
   */
  public static Throwable unwrap(Throwable error) {
    Throwable inner = error;
    while (inner instanceof CompletionException && inner.getCause() != null) {
      inner = inner.getCause();
    }
    return inner;
  }
}
