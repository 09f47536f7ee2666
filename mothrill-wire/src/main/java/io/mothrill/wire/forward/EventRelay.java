package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.RouteKind;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Relays the events of a stream to its caller, each exactly once and in order. */
final class EventRelay {

  private final AdmittedRequest admitted;
  private final ForwardProgress progress;
  private final HttpResponse head;
  private final RegisteredUpstream upstream;
  private final boolean resumable;

  /** True until the first event with an id, if the caller has received events before this run. */
  private boolean continues;

  EventRelay(
      AdmittedRequest admitted,
      ForwardProgress progress,
      HttpResponse head,
      RegisteredUpstream upstream) {
    this.admitted = admitted;
    this.progress = progress;
    this.head = head;
    this.upstream = upstream;
    this.resumable = admitted.route().kind() == RouteKind.RESUMABLE_STREAM;
    this.continues = resumable && progress.lastEventId.isPresent();
  }

  /**
   * Relays one event, unless the upstream repeats it.
   *
   * @return a description of the event if the caller must not receive it here, otherwise empty
   */
  Optional<String> relay(EventSplitter.Event event) {
    if (progress.lastEventId.isPresent()) {
      long last = progress.lastEventId.getAsLong();
      if (!mayFollow(event, last)) {
        String name =
            event.id().isPresent() ? "event " + event.id().getAsLong() : "event without id";
        return Optional.of(name + " instead of " + (last + 1));
      }
      if (event.id().orElse(last + 1) <= last) {
        return Optional.empty();
      }
    }
    if (!progress.streamStarted) {
      progress.firstByteMs = admitted.elapsedMs();
      progress.pin.onFirstEvent(upstream);
    }
    startStream();
    if (event.id().isPresent()) {
      progress.lastEventId = event.id();
      progress.lastWithoutId = false;
      continues = false;
      progress.eventCount++;
    } else if (event.hasContent()) {
      progress.lastWithoutId = true;
    }
    admitted.response().sendChunk(event.bytes());
    return Optional.empty();
  }

  /** A continuation has to begin with the next event; no run may go back. */
  private boolean mayFollow(EventSplitter.Event event, long last) {
    if (event.id().isEmpty()) {
      return !continues || !event.hasContent();
    }
    long id = event.id().getAsLong();
    return id == last + 1 || (id == last && !continues) || (id < last && !resumable);
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
