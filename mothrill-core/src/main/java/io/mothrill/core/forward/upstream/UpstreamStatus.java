package io.mothrill.core.forward.upstream;

/** What an instance has found out about an upstream that still stands in the list. */
public enum UpstreamStatus {
  /** It says itself that it leaves: it never takes requests again. */
  LEAVING,
  /** Another upstream answers at its address: this one never comes back under its name. */
  REPLACED,
  /** Its machine refuses connections: the process has ended, and may start again. */
  ENDED,
  /** Nothing answers: the process, its machine or the way there may be down. */
  UNREACHABLE;

  /** Says whether it never takes requests again under its name. */
  boolean isFinal() {
    return this == LEAVING || this == REPLACED;
  }
}
