package io.mothrill.core.request.error;

import io.mothrill.core.request.Refusal;

/** Thrown when a request is refused. The caller receives the refusal. */
public final class RefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  /**
   * Creates the error.
   *
   * @param refusal the refusal that the caller receives
   */
  public RefusedException(Refusal refusal) {
    super(refusal.message());
    this.refusal = refusal;
  }

  /**
   * Returns the refusal.
   *
   * @return the refusal that the caller receives
   */
  public Refusal refusal() {
    return refusal;
  }
}
