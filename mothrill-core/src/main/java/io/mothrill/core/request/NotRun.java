package io.mothrill.core.request;

/** What a refusal says about whether the request ran. */
public enum NotRun {
  /** It surely did not run. */
  TRUE,
  /** It ran. */
  FALSE,
  /** It may have run. */
  UNKNOWN
}
