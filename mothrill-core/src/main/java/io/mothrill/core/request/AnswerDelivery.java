package io.mothrill.core.request;

import java.util.Optional;

/**
 * Brings an answer to its caller for as long as the caller is there, and keeps it for a repetition.
 */
final class AnswerDelivery {

  private final CallerStream caller;
  private final AnswerLog log;
  private boolean begun;
  private boolean callerGone;

  AnswerDelivery(CallerStream caller, AnswerLog log) {
    this.caller = caller;
    this.log = log;
  }

  void head(int status, String contentType) {
    log.head(status, contentType);
    begun = true;
    if (!callerGone) {
      caller.head(status, contentType);
    }
  }

  void piece(byte[] bytes) {
    log.piece(bytes);
    if (!callerGone) {
      caller.piece(bytes);
    }
  }

  void end() {
    if (!callerGone) {
      caller.end();
    }
  }

  /** Sends an answer that was kept from an earlier run. */
  void replay(StoredAnswer stored) {
    caller.head(stored.status(), stored.contentType());
    caller.piece(stored.body());
    caller.end();
  }

  /** Ends without an answer: visibly broken off when a part of one has gone out already. */
  void refuse(Refusal refusal) {
    if (callerGone) {
      return;
    }
    if (begun) {
      caller.abort();
    } else {
      caller.refuse(refusal);
    }
  }

  void onCallerGone() {
    callerGone = true;
  }

  boolean isCallerGone() {
    return callerGone;
  }

  /** Says whether the caller has seen something of an answer. */
  boolean isBegun() {
    return begun;
  }

  int status() {
    return log.status();
  }

  Optional<StoredAnswer> whole() {
    return log.whole();
  }
}
