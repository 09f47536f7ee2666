package io.mothrill.core.request;

import java.util.Optional;

/**
 * Brings an answer to its caller for as long as the caller is there, and keeps it for a repetition.
 */
final class AnswerDelivery {

  private final CallerStream caller;
  private final AnswerBuffer buffer;
  private boolean started;
  private boolean callerDisconnected;

  AnswerDelivery(CallerStream caller, AnswerBuffer buffer) {
    this.caller = caller;
    this.buffer = buffer;
  }

  void head(int status, String contentType) {
    buffer.head(status, contentType);
    started = true;
    if (!callerDisconnected) {
      caller.head(status, contentType);
    }
  }

  void chunk(byte[] bytes) {
    buffer.chunk(bytes);
    if (!callerDisconnected) {
      caller.chunk(bytes);
    }
  }

  void end() {
    if (!callerDisconnected) {
      caller.end();
    }
  }

  /** Sends an answer that was kept from an earlier run. */
  void replay(StoredAnswer stored) {
    caller.head(stored.status(), stored.contentType());
    caller.chunk(stored.body());
    caller.end();
  }

  /** Ends without an answer: visibly broken off when a part of one has gone out already. */
  void refuse(Refusal refusal) {
    if (callerDisconnected) {
      return;
    }
    if (started) {
      caller.abort();
    } else {
      caller.refuse(refusal);
    }
  }

  void onCallerDisconnected() {
    callerDisconnected = true;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  /** Says whether the caller has seen something of an answer. */
  boolean isStarted() {
    return started;
  }

  int status() {
    return buffer.status();
  }

  Optional<StoredAnswer> completeAnswer() {
    return buffer.completeAnswer();
  }
}
