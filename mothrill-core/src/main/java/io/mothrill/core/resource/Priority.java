package io.mothrill.core.resource;

/** The two classes of calls. */
public enum Priority {
  /** Someone waits for the answer. */
  URGENT,
  /** May wait, but must complete. */
  BATCH
}
