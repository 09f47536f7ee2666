package io.mothrill.wire.peer;

import io.mothrill.core.forward.stream.StreamNotice;
import io.mothrill.core.forward.stream.StreamOrigin;
import io.mothrill.wire.peer.generated.OriginAnswer;
import io.mothrill.wire.peer.generated.OriginQuery;
import io.mothrill.wire.peer.generated.OriginRecord;
import java.util.Optional;

/** Converts messages about the origins of streams from and to protobuf. */
final class StreamNoticeCodec {

  /** Longer than ids that callers choose; longer ones are not recorded. */
  private static final int MAX_ID_CHARS = 200;

  private StreamNoticeCodec() {}

  static io.mothrill.wire.peer.generated.StreamNotice write(StreamNotice notice) {
    var builder =
        io.mothrill.wire.peer.generated.StreamNotice.newBuilder().setRequestId(notice.requestId());
    if (notice instanceof StreamNotice.Record told) {
      builder.setRecord(
          OriginRecord.newBuilder()
              .setOrigin(writeOrigin(told.origin()))
              .setAttempt(told.attempt())
              .setKeepMs(told.keepMs()));
    } else if (notice instanceof StreamNotice.Query query) {
      builder.setQuery(
          OriginQuery.newBuilder()
              .setService(query.service())
              .setBegunWithinMs(query.begunWithinMs()));
    } else if (notice instanceof StreamNotice.Answer answer) {
      OriginAnswer.Builder written = OriginAnswer.newBuilder().setAttempt(answer.attempt());
      answer.origin().map(StreamNoticeCodec::writeOrigin).ifPresent(written::setOrigin);
      answer.onlyVersion().ifPresent(written::setOnlyVersion);
      builder.setAnswer(written);
    }
    return builder.build();
  }

  private static io.mothrill.wire.peer.generated.StreamOrigin writeOrigin(StreamOrigin origin) {
    return io.mothrill.wire.peer.generated.StreamOrigin.newBuilder()
        .setService(origin.service())
        .setVersion(origin.version())
        .build();
  }

  /** Parses a message; empty when no instance of this release can have sent it. */
  static Optional<StreamNotice> read(io.mothrill.wire.peer.generated.StreamNotice notice) {
    String requestId = notice.getRequestId();
    if (requestId.isEmpty() || requestId.length() > MAX_ID_CHARS) {
      return Optional.empty();
    }
    return switch (notice.getKindCase()) {
      case RECORD -> record(requestId, notice.getRecord());
      case QUERY ->
          Optional.of(
              new StreamNotice.Query(
                  requestId,
                  notice.getQuery().getService(),
                  Math.max(0, notice.getQuery().getBegunWithinMs())));
      case ANSWER -> Optional.of(answer(requestId, notice.getAnswer()));
      default -> Optional.empty();
    };
  }

  private static Optional<StreamNotice> record(String requestId, OriginRecord told) {
    return told.hasOrigin() && told.getAttempt() > 0 && told.getKeepMs() > 0
        ? Optional.of(
            new StreamNotice.Record(
                requestId, readOrigin(told.getOrigin()), told.getAttempt(), told.getKeepMs()))
        : Optional.empty();
  }

  private static StreamNotice answer(String requestId, OriginAnswer answer) {
    return new StreamNotice.Answer(
        requestId,
        answer.hasOrigin() ? Optional.of(readOrigin(answer.getOrigin())) : Optional.empty(),
        answer.getAttempt(),
        answer.hasOnlyVersion() ? Optional.of(answer.getOnlyVersion()) : Optional.empty());
  }

  private static StreamOrigin readOrigin(io.mothrill.wire.peer.generated.StreamOrigin origin) {
    return new StreamOrigin(origin.getService(), origin.getVersion());
  }
}
