package io.mothrill.core.forward.stream;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/**
 * The pin of a stream that may be taken up again; confined to the caller's event loop.
 *
 * <p>The origin is recorded when the request is sent, as the first event must not wait for it, and
 * once more when the event has come, as a record may be lost or belong to an attempt without
 * events.
 */
final class RecordedPin implements StreamPin {

  private final StreamOrigins origins;
  private final String requestId;
  private final long keepMs;
  private Optional<StreamOrigin> required;
  private int attempt;

  RecordedPin(
      StreamOrigins origins, String requestId, long keepMs, Optional<StreamOrigin> required) {
    this.origins = origins;
    this.requestId = requestId;
    this.keepMs = keepMs;
    this.required = required;
  }

  @Override
  public void onSent(RegisteredUpstream upstream) {
    attempt++;
    record(originOf(upstream), required.isPresent() ? OriginRecords.CERTAIN : attempt);
  }

  @Override
  public void onFirstEvent(RegisteredUpstream upstream) {
    if (required.isEmpty()) {
      required = Optional.of(originOf(upstream));
      record(required.get(), OriginRecords.CERTAIN);
    }
  }

  private void record(StreamOrigin origin, int number) {
    if (!requestId.isEmpty()) {
      origins.record(requestId, origin, number, keepMs);
    }
  }

  private static StreamOrigin originOf(RegisteredUpstream upstream) {
    return new StreamOrigin(upstream.service(), upstream.version());
  }

  @Override
  public Optional<String> requiredVersion() {
    return required.map(StreamOrigin::version);
  }
}
