package io.mothrill.core.forward.path;

/** How a connection of this instance to an upstream has failed. */
public enum PathFailure {
  /** No answer to an attempt to connect. */
  TIMED_OUT,
  /** The attempt to connect was refused or reset. */
  REFUSED,
  /** An open connection was closed or reset while a request was in flight. */
  LOST,
  /** Nothing was received while requests were in flight. */
  SILENT
}
