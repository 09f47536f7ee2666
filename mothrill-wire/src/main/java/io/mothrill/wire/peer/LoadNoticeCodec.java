package io.mothrill.wire.peer;

import io.mothrill.core.forward.contention.ContentionReport;
import io.mothrill.wire.peer.generated.LoadNotice;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/** Converts reports about slow upstreams from and to protobuf. */
final class LoadNoticeCodec {

  private static final double PERCENT = 100;

  /** A hundred times slower than usual, which is the most that an upstream can announce. */
  private static final int MAX_SLOWDOWN_PERCENT = 10_000;

  /** Longer than any request lasts. */
  private static final long MAX_WAIT_MS = 60_000;

  /** More requests than any upstream has at once. */
  private static final int MAX_COUNT = 1_000_000;

  private LoadNoticeCodec() {}

  static LoadNotice write(ContentionReport report) {
    LoadNotice.Builder notice =
        LoadNotice.newBuilder()
            .setIncarnation(report.incarnation())
            .setWaitMs(Math.min(MAX_WAIT_MS, report.waitMs()));
    report
        .slowdown()
        .ifPresent(factor -> notice.setSlowdownPercent((int) Math.round(factor * PERCENT)));
    report.running().ifPresent(notice::setRunning);
    report.queued().ifPresent(notice::setQueued);
    return notice.build();
  }

  /** Parses a report; empty when no instance of this release can have sent it. */
  static Optional<ContentionReport> read(LoadNotice notice) {
    return isValid(notice)
        ? Optional.of(
            new ContentionReport(
                notice.getIncarnation(),
                notice.getWaitMs(),
                notice.hasSlowdownPercent()
                    ? OptionalDouble.of(notice.getSlowdownPercent() / PERCENT)
                    : OptionalDouble.empty(),
                notice.hasRunning() ? OptionalInt.of(notice.getRunning()) : OptionalInt.empty(),
                notice.hasQueued() ? OptionalInt.of(notice.getQueued()) : OptionalInt.empty()))
        : Optional.empty();
  }

  private static boolean isValid(LoadNotice notice) {
    return notice.getIncarnation().length() <= UpstreamNoticeCodec.MAX_NAME_CHARS
        && notice.getWaitMs() >= 0
        && notice.getWaitMs() <= MAX_WAIT_MS
        && (!notice.hasSlowdownPercent()
            || notice.getSlowdownPercent() > 0
                && notice.getSlowdownPercent() <= MAX_SLOWDOWN_PERCENT)
        && isCount(notice.getRunning())
        && isCount(notice.getQueued());
  }

  static boolean isCount(int count) {
    return count >= 0 && count <= MAX_COUNT;
  }
}
