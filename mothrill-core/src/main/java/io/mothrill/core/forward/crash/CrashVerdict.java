package io.mothrill.core.forward.crash;

import java.util.Optional;

/**
 * Whether a request may be sent although upstreams have crashed under it or under parts of its
 * prompt.
 *
 * @param action what may be done with the request
 * @param record the record that decided; empty if the request may be sent
 * @param retryAfterMs milliseconds until the request may be sent, if it must not be sent now
 */
record CrashVerdict(Action action, Optional<CrashRecord> record, long retryAfterMs) {

  /** The request may be sent. */
  static final CrashVerdict SEND = new CrashVerdict(Action.SEND, Optional.empty(), 0);

  /** What may be done with a request. */
  enum Action {
    /** It may be sent. */
    SEND,
    /** It may be sent with the only trial permit, as its outcome tells suspects apart. */
    TRIAL,
    /** It must not be sent. */
    REFUSE
  }

  static CrashVerdict trial(CrashRecord suspect) {
    return new CrashVerdict(Action.TRIAL, Optional.of(suspect), TrialQueue.REFUSED_RETRY_AFTER_MS);
  }

  static CrashVerdict refuse(CrashRecord suspect, long retryAfterMs) {
    return new CrashVerdict(Action.REFUSE, Optional.of(suspect), retryAfterMs);
  }
}
