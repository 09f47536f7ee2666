package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.RouteKind;
import io.mothrill.core.forward.request.ForwardCall;
import io.mothrill.core.forward.stream.StreamOrigin;
import io.mothrill.core.forward.stream.StreamOrigins;
import io.mothrill.core.forward.stream.StreamPin;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A request and the software versions to which it may be sent.
 *
 * @param request the request, to the service that began the stream if it continues one
 * @param pin the versions
 */
record PinnedRequest(AdmittedRequest request, StreamPin pin) {

  /** Callers take up a stream within this time after their last attempt has ended. */
  private static final long TAKE_UP_MS = 5_000;

  /**
   * Finds the versions to which a request may be sent.
   *
   * <p>A caller that does not name the request that began its stream may have sent it again under
   * the same id.
   *
   * @return the request; empty if it continues a stream whose origin nobody knows
   */
  static CompletableFuture<Optional<PinnedRequest>> find(AdmittedRequest admitted) {
    if (admitted.route().kind() != RouteKind.RESUMABLE_STREAM) {
      return CompletableFuture.completedFuture(
          Optional.of(new PinnedRequest(admitted, StreamPin.NONE)));
    }
    StreamOrigins origins = admitted.received().dependencies().streamOrigins();
    ForwardCall call = admitted.call();
    long keepMs = admitted.route().timeoutMs() + TAKE_UP_MS;
    if (call.lastEventId().isEmpty()) {
      StreamPin pin = origins.pin(call.id(), keepMs, Optional.empty());
      return CompletableFuture.completedFuture(Optional.of(new PinnedRequest(admitted, pin)));
    }
    String firstId = call.resumedId().isEmpty() ? call.id() : call.resumedId();
    return origins
        .find(firstId, onlyTarget(admitted), keepMs)
        .thenApply(
            origin ->
                origin
                    .filter(found -> isTarget(admitted, found))
                    .map(
                        found ->
                            new PinnedRequest(
                                admitted.withService(found.service()),
                                origins.pin(firstId, keepMs, origin))));
  }

  /** Returns the service that began the stream if nothing is recorded; empty on a split route. */
  private static String onlyTarget(AdmittedRequest admitted) {
    return admitted.route().targets().size() == 1 ? admitted.service() : "";
  }

  /** Checks whether the plan still routes the request to the service that began the stream. */
  private static boolean isTarget(AdmittedRequest admitted, StreamOrigin origin) {
    return admitted.route().targets().stream()
        .anyMatch(target -> target.service().equals(origin.service()));
  }
}
