package io.mothrill.wire.forward;

/** What ended a connection to an upstream before its answer was whole. */
enum ResponseFailure {
  /** It was closed or reset by the other side, or by something between. */
  CLOSED,
  /** What came is not the answer to the request; its upstream goes on. */
  PROTOCOL_ERROR,
  /** Another process has followed the upstream's, so that one has surely ended. */
  REPLACED
}
