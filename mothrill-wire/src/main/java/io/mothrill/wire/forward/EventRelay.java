package io.mothrill.wire.forward;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Passes the events of a stream on to its caller, each once and in order. */
final class EventRelay {

  private final AdmittedRequest admitted;
  private final ForwardProgress progress;
  private final HttpResponse head;

  EventRelay(AdmittedRequest work, ForwardProgress progress, HttpResponse head) {
    this.admitted = work;
    this.progress = progress;
    this.head = head;
  }

  /**
   * Passes one event on, unless the caller has got it from an earlier upstream.
   *
   * @return what is wrong when events are missing before it
   */
  Optional<String> relay(EventSplitter.Event event) {
    if (event.id().isPresent() && progress.lastEventId.isPresent()) {
      long expected = progress.lastEventId.getAsLong() + 1;
      if (event.id().getAsLong() < expected) {
        return Optional.empty();
      }
      if (event.id().getAsLong() > expected) {
        return Optional.of("event " + event.id().getAsLong() + " instead of " + expected);
      }
    }
    if (!progress.streamStarted) {
      progress.firstByteMs = admitted.elapsedMs();
    }
    startStream();
    if (event.id().isPresent()) {
      progress.lastEventId = event.id();
      progress.eventCount++;
    }
    admitted.response().sendChunk(event.bytes());
    return Optional.empty();
  }

  /** Sends the head of the answer, unless an earlier upstream's has been sent. */
  void startStream() {
    if (!progress.streamStarted) {
      progress.streamStarted = true;
      admitted
          .response()
          .startStream(
              head.status(),
              admitted.received().dependencies().dialect().callerResponseHeaders(head.headers()));
    }
  }
}
