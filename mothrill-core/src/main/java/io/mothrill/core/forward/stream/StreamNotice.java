package io.mothrill.core.forward.stream;

import java.util.Optional;
import java.util.Set;

/** A message between instances about the origins of streams; may be lost. */
public sealed interface StreamNotice {

  /**
   * Returns the request that began the stream.
   *
   * @return the caller's id for it
   */
  String requestId();

  /**
   * Tells the origin of a stream whose first event was relayed, so that the receiver can answer
   * queries about it.
   *
   * @param requestId the caller's id for the request that began the stream
   * @param origin the origin
   * @param keepMs for how long the stream may be taken up again
   */
  record Record(String requestId, StreamOrigin origin, long keepMs) implements StreamNotice {}

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
   * @param origins the recorded origins; several if a caller began the stream again under its id
   * @param span when the sender's list had only one version of the service; empty if not known
   */
  record Answer(String requestId, Set<StreamOrigin> origins, Optional<VersionSpan> span)
      implements StreamNotice {

    /** Copies the origins. */
    public Answer {
      origins = Set.copyOf(origins);
    }
  }
}
