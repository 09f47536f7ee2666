package io.mothrill.core.forward.upstream;

/** The detected status of an upstream that is still in the list. */
public enum UpstreamStatus {
  /** It has announced that it is leaving: it never accepts requests again. */
  LEAVING,
  /** Another upstream answers at its address: this one never returns under its id. */
  REPLACED,
  /** Its host refuses connections: the process has terminated and may restart. */
  ENDED,
  /** No answer: the process, its host or the network may be down. */
  UNREACHABLE;

  /** Checks whether it never accepts requests again under its id. */
  boolean isFinal() {
    return this == LEAVING || this == REPLACED;
  }
}
