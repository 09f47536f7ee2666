package io.mothrill.core.request;

import java.util.Optional;

/** Delivers an answer to its caller while the caller is connected, and buffers it for retries. */
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

  /** Sends an answer that was stored by an earlier run. */
  void replay(StoredAnswer stored) {
    caller.head(stored.status(), stored.contentType());
    caller.chunk(stored.body());
    caller.end();
  }

  /**
   * Ends the request without an answer. The connection is aborted when a part of an answer has
   * already been sent, so that the caller notices that it is incomplete.
   */
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

  /** Checks whether a part of the answer has been sent to the caller. */
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
