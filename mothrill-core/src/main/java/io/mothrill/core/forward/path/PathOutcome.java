package io.mothrill.core.forward.path;

/** What an attempt to connect to an upstream has shown. */
public enum PathOutcome {
  /** The upstream accepts connections. */
  REACHED,
  /** Its host refuses connections. */
  REFUSED,
  /** No answer in time. */
  UNREACHABLE,
  /** Nothing about the upstream: the instance that was asked cannot tell, or has not answered. */
  UNKNOWN
}
