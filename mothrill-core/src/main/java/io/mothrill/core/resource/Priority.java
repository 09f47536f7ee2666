package io.mothrill.core.resource;

/** The priority class of a call. */
public enum Priority {
  /** Interactive: a user waits for the response. */
  URGENT,
  /** May be delayed, but must complete. */
  BATCH
}
