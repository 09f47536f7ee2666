package io.mothrill.core.error;

import java.util.concurrent.CompletionException;

/** Utilities for the exceptions of futures. */
public final class Failures {

  private Failures() {}

  /**
   * Removes the {@link CompletionException} that a future wraps around its exception.
   *
   * @param error the exception as a callback received it
   * @return the exception that the future was completed with
   */
  public static Throwable unwrap(Throwable error) {
    Throwable inner = error;
    while (inner instanceof CompletionException && inner.getCause() != null) {
      inner = inner.getCause();
    }
    return inner;
  }
}
