package io.mothrill.wire.peer;

import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.forward.upstream.UpstreamStatusReport;
import io.mothrill.wire.peer.generated.UpstreamNotice;
import io.mothrill.wire.peer.generated.UpstreamNotice.Fate;
import java.util.Optional;

/** Converts status reports about upstreams from and to protobuf. */
final class UpstreamNoticeCodec {

  /** The maximum length of a row key in the platform's table plus a start time suffix. */
  static final int MAX_NAME_CHARS = 230;

  private static final int MAX_HOST_CHARS = 45;
  private static final int MAX_PORT = 65_535;

  private UpstreamNoticeCodec() {}

  static UpstreamNotice write(UpstreamStatusReport report) {
    return UpstreamNotice.newBuilder()
        .setIncarnation(report.incarnation())
        .setHost(report.host())
        .setPort(report.port())
        .setFate(
            switch (report.status()) {
              case LEAVING -> Fate.FATE_LEAVING;
              case REPLACED -> Fate.FATE_REPLACED;
              case ENDED -> Fate.FATE_ENDED;
              case UNREACHABLE -> Fate.FATE_UNREACHABLE;
            })
        .build();
  }

  /** Parses a report; empty when no instance of this release can have sent it. */
  static Optional<UpstreamStatusReport> read(UpstreamNotice notice) {
    boolean valid =
        notice.getIncarnation().length() <= MAX_NAME_CHARS
            && notice.getHost().length() <= MAX_HOST_CHARS
            && notice.getPort() > 0
            && notice.getPort() <= MAX_PORT;
    return valid
        ? statusOf(notice.getFate())
            .map(
                status ->
                    new UpstreamStatusReport(
                        notice.getIncarnation(), notice.getHost(), notice.getPort(), status))
        : Optional.empty();
  }

  private static Optional<UpstreamStatus> statusOf(Fate status) {
    return switch (status) {
      case FATE_LEAVING -> Optional.of(UpstreamStatus.LEAVING);
      case FATE_REPLACED -> Optional.of(UpstreamStatus.REPLACED);
      case FATE_ENDED -> Optional.of(UpstreamStatus.ENDED);
      case FATE_UNREACHABLE -> Optional.of(UpstreamStatus.UNREACHABLE);
      default -> Optional.empty();
    };
  }
}
