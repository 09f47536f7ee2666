package io.mothrill.core.forward.admission;

import io.mothrill.core.forward.check.Rejection;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import java.util.Optional;

/**
 * The admission of one request to its service; confined to one thread. It admits everything and
 * changes no time where decisions under load are not active.
 *
 * <pre>{@code
 * RequestAdmission admission = new RequestAdmission(admissions.find(service), request);
 * Optional<Rejection> rejection = admission.admit();
 * ...
 * admission.onEnded(true);
 * }</pre>
 */
public final class RequestAdmission {

  private final Optional<ServiceAdmission> service;
  private final AdmissionRequest request;
  private boolean counted;

  /**
   * Creates the admission of a request.
   *
   * @param service the admission of its service; empty if decisions under load are not active
   * @param request its properties
   */
  public RequestAdmission(Optional<ServiceAdmission> service, AdmissionRequest request) {
    this.service = service;
    this.request = request;
  }

  /**
   * Admits the request, which counts as in flight from then on, or refuses it.
   *
   * @return the rejection, or empty if it is admitted
   */
  public Optional<Rejection> admit() {
    Optional<Rejection> rejection = service.flatMap(admission -> admission.admit(request));
    if (rejection.isEmpty()) {
      counted = true;
      service.ifPresent(admission -> admission.onStarted(request));
    }
    return rejection;
  }

  /**
   * Called when an upstream has turned the request away because it is full.
   *
   * @return the rejection if the request should not be sent to another upstream
   */
  public Optional<Rejection> onTurnedAway() {
    service.ifPresent(ServiceAdmission::onTurnedAway);
    return service.flatMap(admission -> admission.admitAgain(request));
  }

  /**
   * Called when the request has ended in any way, also if it was refused.
   *
   * @param answered whether an upstream has answered it
   */
  public void onEnded(boolean answered) {
    if (counted) {
      counted = false;
      service.ifPresent(admission -> admission.onEnded(request, answered));
    }
  }

  /**
   * Determines when the caller of a refused request retries.
   *
   * @param refusal the refusal with its fixed time
   * @return the refusal with the time to report
   */
  public ForwardRefusal withRetryTime(ForwardRefusal refusal) {
    if (service.isEmpty() || refusal.retryAfterMs().isEmpty()) {
      return refusal;
    }
    long fixedMs = refusal.retryAfterMs().getAsLong();
    Cause cause = refusal.cause();
    return ForwardRefusal.retryAfter(
        cause,
        switch (cause) {
          case OVER_LIMIT, OVER_SHARE -> fixedMs;
          case ALL_FULL -> service.get().untilSlotFreeMs(request);
          default -> service.get().spreadMs(fixedMs, request);
        });
  }
}
