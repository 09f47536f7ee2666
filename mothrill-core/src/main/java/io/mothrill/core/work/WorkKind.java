package io.mothrill.core.work;

/** What an event loop was woken up for. */
public enum WorkKind {
  /** Bytes of callers: requests. */
  CALLER,
  /** Bytes of upstreams: answers and events of streams. */
  UPSTREAM,
  /** Answers of the platform's store. */
  STORE,
  /** Questions and answers of other instances. */
  PEER,
  /** Datagrams about prompts that other instances have sent. */
  NOTICE,
  /** Tasks of the timer service. */
  TIMER
}
