package io.mothrill.core.fake;

/** How a fake treats the calls that reach it. */
public enum Fault {
  /** Calls are answered. */
  NONE,
  /** Calls fail and have no effect. */
  DOWN,
  /** Calls take effect, but their answers are lost. */
  ANSWER_LOST
}
