package io.mothrill.core.forward.prompt;

/** Classes of prompts by how much their prefill delays other requests at the same engine. */
public enum PromptClass {
  /** Takes a small part of the target latency of any request. */
  SHORT,
  /** Delays the events of others by less than twice the longest pause that callers accept. */
  LONG,
  /** Stalls all other responses for longer. */
  BULK;

  /** Number of classes. */
  static final int COUNT = values().length;
}
