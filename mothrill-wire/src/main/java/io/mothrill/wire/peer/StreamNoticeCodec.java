package io.mothrill.wire.peer;

import io.mothrill.core.forward.stream.StreamNotice;
import io.mothrill.core.forward.stream.StreamOrigin;
import io.mothrill.core.forward.stream.VersionSpan;
import io.mothrill.wire.peer.generated.OriginAnswer;
import io.mothrill.wire.peer.generated.OriginQuery;
import io.mothrill.wire.peer.generated.OriginRecord;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Converts messages about the origins of streams from and to protobuf. */
final class StreamNoticeCodec {

  /** Longer than ids that callers choose; longer ones are not recorded. */
  private static final int MAX_ID_CHARS = 200;

  /** The attempt of an origin whose first event was relayed. */
  private static final int BEGUN = Integer.MAX_VALUE;

  /** The attempt under which earlier releases answer with what they have read from the table. */
  private static final int STORED = BEGUN - 1;

  private StreamNoticeCodec() {}

  static io.mothrill.wire.peer.generated.StreamNotice write(StreamNotice notice) {
    var builder =
        io.mothrill.wire.peer.generated.StreamNotice.newBuilder().setRequestId(notice.requestId());
    if (notice instanceof StreamNotice.Record told) {
      builder.setRecord(
          OriginRecord.newBuilder()
              .setOrigin(writeOrigin(told.origin()))
              .setAttempt(BEGUN)
              .setKeepMs(told.keepMs()));
    } else if (notice instanceof StreamNotice.Query query) {
      builder.setQuery(
          OriginQuery.newBuilder()
              .setService(query.service())
              .setBegunWithinMs(query.begunWithinMs()));
    } else if (notice instanceof StreamNotice.Answer answer) {
      builder.setAnswer(writeAnswer(answer));
    }
    return builder.build();
  }

  private static OriginAnswer writeAnswer(StreamNotice.Answer answer) {
    OriginAnswer.Builder written = OriginAnswer.newBuilder();
    answer.origins().stream()
        .findFirst()
        .ifPresent(origin -> written.setOrigin(writeOrigin(origin)).setAttempt(BEGUN));
    answer.origins().stream()
        .skip(1)
        .map(StreamNoticeCodec::writeOrigin)
        .forEach(written::addMoreOrigins);
    answer
        .span()
        .ifPresent(
            span ->
                written.setSpan(
                    io.mothrill.wire.peer.generated.VersionSpan.newBuilder()
                        .setVersion(span.version())
                        .setFromMs(span.fromMs())
                        .setUntilMs(span.untilMs())));
    return written.build();
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
    return told.hasOrigin() && told.getAttempt() >= STORED && told.getKeepMs() > 0
        ? Optional.of(
            new StreamNotice.Record(requestId, readOrigin(told.getOrigin()), told.getKeepMs()))
        : Optional.empty();
  }

  private static StreamNotice answer(String requestId, OriginAnswer answer) {
    return new StreamNotice.Answer(
        requestId,
        Stream.concat(origin(answer).stream(), answer.getMoreOriginsList().stream())
            .map(StreamNoticeCodec::readOrigin)
            .collect(Collectors.toUnmodifiableSet()),
        answer.hasSpan() ? Optional.of(readSpan(answer.getSpan())) : Optional.empty());
  }

  private static Optional<io.mothrill.wire.peer.generated.StreamOrigin> origin(
      OriginAnswer answer) {
    return answer.hasOrigin() && answer.getAttempt() >= STORED
        ? Optional.of(answer.getOrigin())
        : Optional.empty();
  }

  private static VersionSpan readSpan(io.mothrill.wire.peer.generated.VersionSpan span) {
    return new VersionSpan(span.getVersion(), span.getFromMs(), span.getUntilMs());
  }

  private static StreamOrigin readOrigin(io.mothrill.wire.peer.generated.StreamOrigin origin) {
    return new StreamOrigin(origin.getService(), origin.getVersion());
  }
}
