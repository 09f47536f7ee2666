package io.mothrill.core.work;

/** The kind of work that an event loop processes. */
public enum WorkKind {
  /** Requests from callers. */
  CALLER,
  /** Responses and stream events from upstreams. */
  UPSTREAM,
  /** Responses of the platform's store. */
  STORE,
  /** Requests and replies of other instances. */
  PEER,
  /** Notice datagrams between instances. */
  NOTICE,
  /** Timer tasks. */
  TIMER
}
