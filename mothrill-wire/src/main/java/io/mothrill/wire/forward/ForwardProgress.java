package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.RouteKind;
import io.mothrill.core.forward.stream.StreamPin;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** The progress of a request across all of its attempts; confined to the caller's event loop. */
final class ForwardProgress {

  /** The attempts so far, with their results. */
  final List<ForwardedRequestLog.Attempt> attempts = new ArrayList<>(1);

  /** Number of upstreams that may have run the request. */
  int runCount;

  boolean mayHaveRun;

  boolean streamStarted;

  /** True once a part of a plain response has been sent, which no other upstream can continue. */
  boolean plainStarted;

  /** The versions to which the request may be sent. */
  StreamPin pin = StreamPin.NONE;

  /** The id of the last event that the caller has received, perhaps in an earlier answer. */
  OptionalLong lastEventId = OptionalLong.empty();

  /** True while the last event that was relayed has no id after which a stream could go on. */
  boolean lastWithoutId;

  long eventCount;

  /** Time from the request head to the first byte of the response; -1 while there is none. */
  long firstByteMs = -1;

  /** Called when the versions are known to which the request may be sent. */
  void onPinned(AdmittedRequest admitted, StreamPin newPin) {
    pin = newPin;
    if (admitted.route().kind() == RouteKind.RESUMABLE_STREAM) {
      lastEventId = admitted.call().lastEventId();
    }
  }

  /** Checks whether another upstream can go on after what has been sent. */
  boolean isContinuable() {
    return !plainStarted && !lastWithoutId;
  }

  /** Called when the request is written to an upstream. */
  void onSent(RegisteredUpstream upstream) {
    mayHaveRun = true;
    runCount++;
    pin.onSent(upstream);
  }
}
