package io.mothrill.wire.forward;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Relays the events of a stream to its caller, each exactly once and in order. */
final class EventRelay {

  private final AdmittedRequest admitted;
  private final ForwardProgress progress;
  private final HttpResponse head;
  private final RegisteredUpstream upstream;

  EventRelay(
      AdmittedRequest admitted,
      ForwardProgress progress,
      HttpResponse head,
      RegisteredUpstream upstream) {
    this.admitted = admitted;
    this.progress = progress;
    this.head = head;
    this.upstream = upstream;
  }

  /**
   * Relays one event, unless the caller has already received it from an earlier upstream.
   *
   * @return a description of the gap when events are missing before this one, otherwise empty
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
      progress.pin.onFirstEvent(upstream);
    }
    startStream();
    if (event.id().isPresent()) {
      progress.lastEventId = event.id();
      progress.eventCount++;
    }
    admitted.response().sendChunk(event.bytes());
    return Optional.empty();
  }

  /** Sends the response head, unless the head of an earlier upstream was already sent. */
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
