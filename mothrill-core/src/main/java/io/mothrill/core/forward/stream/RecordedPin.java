package io.mothrill.core.forward.stream;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/**
 * The pin of a stream that may be taken up again; confined to the caller's event loop.
 *
 * <p>The origin is recorded with the first event. An attempt without an event begins nothing, and
 * the next one may bring the first event from another version.
 */
final class RecordedPin implements StreamPin {

  private final StreamOrigins origins;
  private final String requestId;
  private final long keepMs;
  private Optional<StreamOrigin> required;

  RecordedPin(
      StreamOrigins origins, String requestId, long keepMs, Optional<StreamOrigin> required) {
    this.origins = origins;
    this.requestId = requestId;
    this.keepMs = keepMs;
    this.required = required;
  }

  @Override
  public void onSent(RegisteredUpstream upstream) {
    required.ifPresent(this::record);
  }

  @Override
  public void onFirstEvent(RegisteredUpstream upstream) {
    if (required.isEmpty()) {
      required = Optional.of(new StreamOrigin(upstream.service(), upstream.version()));
      required.ifPresent(this::record);
    }
  }

  private void record(StreamOrigin origin) {
    if (!requestId.isEmpty()) {
      origins.record(requestId, origin, keepMs);
    }
  }

  @Override
  public Optional<String> requiredVersion() {
    return required.map(StreamOrigin::version);
  }
}
