package io.mothrill.wire.peer;

import io.mothrill.core.forward.limit.RejectionReport;
import io.mothrill.wire.peer.generated.RejectionNotice;
import java.util.Optional;

/** Converts reports about brittle upstreams from and to protobuf. */
final class RejectionNoticeCodec {

  private RejectionNoticeCodec() {}

  static RejectionNotice write(RejectionReport report) {
    return RejectionNotice.newBuilder()
        .setIncarnation(report.incarnation())
        .setMaxPerS(report.maxPerS())
        .build();
  }

  /** Parses a report; empty when no instance of this release can have sent it. */
  static Optional<RejectionReport> read(RejectionNotice notice) {
    boolean valid =
        notice.getIncarnation().length() <= UpstreamNoticeCodec.MAX_NAME_CHARS
            && notice.getMaxPerS() >= 0;
    return valid
        ? Optional.of(new RejectionReport(notice.getIncarnation(), notice.getMaxPerS()))
        : Optional.empty();
  }
}
