package io.mothrill.wire.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** How far a request has come, over all upstreams; confined to the caller's event loop. */
final class ForwardProgress {

  /** The upstreams that it was offered to, with what came of it. */
  final List<ForwardedRequestLog.Attempt> attempts = new ArrayList<>(1);

  /** Upstreams that may have worked on it. */
  int runCount;

  boolean mayHaveRun;

  boolean streamStarted;

  /** The last event that the caller has got. */
  OptionalLong lastEventId = OptionalLong.empty();

  long eventCount;

  /** From the head to the first byte of the answer; -1 while there is none. */
  long firstByteMs = -1;
}
