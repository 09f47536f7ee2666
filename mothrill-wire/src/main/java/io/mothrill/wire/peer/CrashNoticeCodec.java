package io.mothrill.wire.peer;

import io.mothrill.core.forward.crash.CrashMessage;
import io.mothrill.core.forward.crash.CrashMessage.CrashAge;
import io.mothrill.core.forward.crash.CrashMessage.Entry;
import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.wire.peer.generated.CrashNotice;
import io.mothrill.wire.peer.generated.CrashReport;
import io.mothrill.wire.peer.generated.CrashedRequest;
import java.util.Optional;

/** Converts messages about requests that crash upstreams from and to protobuf. */
final class CrashNoticeCodec {

  /** One day, which is longer than any record is retained. */
  private static final long MAX_AGE_MS = 86_400_000;

  /** More crashes than an instance keeps for one request. */
  private static final int MAX_CRASHES = 16;

  /** The maximum length of a row key in the platform's table. */
  private static final int MAX_NAME_CHARS = 200;

  private CrashNoticeCodec() {}

  static CrashNotice write(CrashMessage message) {
    CrashNotice.Builder notice = CrashNotice.newBuilder().setAsks(message.requestsReply());
    message.entries().stream().map(CrashNoticeCodec::write).forEach(notice::addRequests);
    return notice.build();
  }

  private static CrashedRequest write(Entry entry) {
    CrashedRequest.Builder request =
        CrashedRequest.newBuilder()
            .setFingerprintHigh(entry.fingerprint().high())
            .setFingerprintLow(entry.fingerprint().low());
    entry.clearedAgeMs().ifPresent(request::setClearedAgeMs);
    entry.crashes().stream().map(CrashNoticeCodec::write).forEach(request::addCrashes);
    return request.build();
  }

  private static CrashReport write(CrashAge crash) {
    return CrashReport.newBuilder()
        .setIncarnation(crash.incarnation())
        .setReporter(crash.reporter())
        .setAgeMs(crash.ageMs())
        .build();
  }

  /** Parses a message; empty when no instance can have sent it. */
  static Optional<CrashMessage> read(CrashNotice notice) {
    boolean valid =
        notice.getRequestsCount() <= CrashMessage.MAX_ENTRIES
            && notice.getRequestsList().stream().allMatch(CrashNoticeCodec::isValid);
    return valid
        ? Optional.of(
            new CrashMessage(
                notice.getRequestsList().stream().map(CrashNoticeCodec::read).toList(),
                notice.getAsks()))
        : Optional.empty();
  }

  private static Entry read(CrashedRequest request) {
    return new Entry(
        new Fingerprint(request.getFingerprintHigh(), request.getFingerprintLow()),
        request.getCrashesList().stream()
            .map(
                crash ->
                    new CrashAge(crash.getIncarnation(), crash.getReporter(), crash.getAgeMs()))
            .toList(),
        request.hasClearedAgeMs() ? Optional.of(request.getClearedAgeMs()) : Optional.empty());
  }

  private static boolean isValid(CrashedRequest request) {
    return request.getCrashesCount() <= MAX_CRASHES
        && isValidAge(request.getClearedAgeMs())
        && request.getCrashesList().stream()
            .allMatch(
                crash ->
                    isValidAge(crash.getAgeMs())
                        && crash.getIncarnation().length() <= MAX_NAME_CHARS
                        && crash.getReporter().length() <= MAX_NAME_CHARS);
  }

  private static boolean isValidAge(long ageMs) {
    return ageMs >= 0 && ageMs <= MAX_AGE_MS;
  }
}
