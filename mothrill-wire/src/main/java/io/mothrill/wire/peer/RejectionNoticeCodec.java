package io.mothrill.wire.peer;

import io.mothrill.core.forward.limit.RejectionReport;
import io.mothrill.wire.peer.generated.RejectionNotice;
import java.util.Optional;
import java.util.OptionalInt;

/** Converts reports about brittle upstreams from and to protobuf. */
final class RejectionNoticeCodec {

  private RejectionNoticeCodec() {}

  static RejectionNotice write(RejectionReport report) {
    RejectionNotice.Builder notice =
        RejectionNotice.newBuilder()
            .setIncarnation(report.incarnation())
            .setMaxPerS(report.maxPerS())
            .setTurnedAway(report.turnedAway());
    report.requestCount().ifPresent(notice::setRequestCount);
    return notice.build();
  }

  /** Parses a report; empty when no instance of this release can have sent it. */
  static Optional<RejectionReport> read(RejectionNotice notice) {
    boolean valid =
        notice.getIncarnation().length() <= UpstreamNoticeCodec.MAX_NAME_CHARS
            && notice.getMaxPerS() >= 0
            && LoadNoticeCodec.isCount(notice.getRequestCount());
    return valid
        ? Optional.of(
            new RejectionReport(
                notice.getIncarnation(),
                notice.getMaxPerS(),
                notice.getTurnedAway(),
                notice.hasRequestCount()
                    ? OptionalInt.of(notice.getRequestCount())
                    : OptionalInt.empty()))
        : Optional.empty();
  }
}
