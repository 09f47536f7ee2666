package io.mothrill.core.forward.stream;

import java.util.Optional;

/** A message between instances about the origins of streams; may be lost. */
public sealed interface StreamNotice {

  /**
   * Returns the request that began the stream.
   *
   * @return the caller's id for it
   */
  String requestId();

  /**
   * Tells the origin of a stream, so that the receiver can answer queries about it.
   *
   * @param requestId the caller's id for the request that began the stream
   * @param origin the origin
   * @param attempt the number of the attempt at an upstream; of two records the later one counts
   * @param keepMs for how long the stream may be taken up again
   */
  record Record(String requestId, StreamOrigin origin, int attempt, long keepMs)
      implements StreamNotice {}

  /**
   * Requests the origin of a stream.
   *
   * @param requestId the caller's id for the request that began the stream
   * @param service the only service that can have begun the stream; empty if there are several
   * @param begunWithinMs the longest time since the stream can have begun
   */
  record Query(String requestId, String service, long begunWithinMs) implements StreamNotice {}

  /**
   * Replies to a query.
   *
   * @param requestId the caller's id for the request that began the stream
   * @param origin the recorded origin, if the sender has it
   * @param attempt the attempt of the record
   * @param onlyVersion the only version of the service that the sender has seen in the time of the
   *     query, if there is one
   */
  record Answer(
      String requestId, Optional<StreamOrigin> origin, int attempt, Optional<String> onlyVersion)
      implements StreamNotice {}
}
