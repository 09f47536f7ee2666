package io.mothrill.core.request;

/** States in a refusal whether the request ran. */
public enum NotRun {
  /** It certainly did not run. */
  TRUE,
  /** It ran. */
  FALSE,
  /** It may have run. */
  UNKNOWN
}
