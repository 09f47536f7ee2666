package io.mothrill.core.request.error;

import io.mothrill.core.request.Refusal;

/** A request is not served; the caller gets the refusal. */
public final class RefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  /**
   * Creates the error.
   *
   * @param refusal what the caller is told
   */
  public RefusedException(Refusal refusal) {
    super(refusal.message());
    this.refusal = refusal;
  }

  /**
   * Gives the refusal.
   *
   * @return what the caller is told
   */
  public Refusal refusal() {
    return refusal;
  }
}
