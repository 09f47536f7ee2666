package io.mothrill.wire.peer;

import io.mothrill.core.forward.limit.RateLimitReport;
import io.mothrill.wire.peer.generated.LimitNotice;
import java.util.Optional;
import java.util.OptionalDouble;

/** Converts reports about the rate limits of upstreams from and to protobuf. */
final class LimitNoticeCodec {

  private LimitNoticeCodec() {}

  static LimitNotice write(RateLimitReport report) {
    LimitNotice.Builder notice = LimitNotice.newBuilder().setIncarnation(report.incarnation());
    report.limitPerS().ifPresent(notice::setLimitPerS);
    return notice.build();
  }

  /** Parses a report; empty when no instance of this release can have sent it. */
  static Optional<RateLimitReport> read(LimitNotice notice) {
    boolean valid =
        notice.getIncarnation().length() <= UpstreamNoticeCodec.MAX_NAME_CHARS
            && notice.getLimitPerS() >= 0
            && Double.isFinite(notice.getLimitPerS());
    return valid
        ? Optional.of(new RateLimitReport(notice.getIncarnation(), limitOf(notice)))
        : Optional.empty();
  }

  private static OptionalDouble limitOf(LimitNotice notice) {
    return notice.hasLimitPerS()
        ? OptionalDouble.of(notice.getLimitPerS())
        : OptionalDouble.empty();
  }
}
