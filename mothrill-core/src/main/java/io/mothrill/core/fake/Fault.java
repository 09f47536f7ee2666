package io.mothrill.core.fake;

/** How a fake handles the calls it receives. */
public enum Fault {
  /** Calls succeed. */
  NONE,
  /** Calls fail and have no effect. */
  DOWN,
  /** Calls take effect, but their responses are lost. */
  ANSWER_LOST
}
