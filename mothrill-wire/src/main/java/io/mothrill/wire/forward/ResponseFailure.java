package io.mothrill.wire.forward;

import io.mothrill.core.forward.crash.RequestCrashGuard;
import io.mothrill.core.forward.upstream.RegisteredUpstream;

/** Why no complete response was received from an upstream. */
enum ResponseFailure {
  /** The connection was closed or reset by the upstream or by something in between. */
  CLOSED,
  /** The received data is not a response to the request; the upstream keeps running. */
  PROTOCOL_ERROR,
  /** The process of the upstream was replaced by another one, so it has certainly ended. */
  REPLACED,
  /** The upstream does not read the request; it keeps running. */
  STALLED;

  /** Reports the failure to the crash guard of the request. */
  void reportTo(RequestCrashGuard guard, RegisteredUpstream upstream) {
    switch (this) {
      case CLOSED -> guard.onConnectionLost(upstream);
      case STALLED -> {
        // An upstream that does not read keeps running, and sent no answer.
      }
      case REPLACED -> guard.onUpstreamReplaced(upstream);
      default -> guard.onInvalidAnswer();
    }
  }
}
