package io.mothrill.core.request;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import java.nio.ByteBuffer;

/**
 * A request together with what the configuration says about it.
 *
 * @param request the request
 * @param service the service
 * @param budget the budget that it draws on
 * @param key the request key
 * @param keyed true when the caller chose the key, so that a retry may come at any instance
 * @param requestId the run's id
 * @param priority the class
 * @param repeatable whether it may run again after an unknown outcome
 * @param maxOutputTokens the output cap
 * @param reserveTokens the most that it can use
 * @param deadlineMs the time on the timer service at which it is given up
 */
public record CallPlan(
    CallRequest request,
    ServiceSpec service,
    String budget,
    RequestKey key,
    boolean keyed,
    String requestId,
    Priority priority,
    boolean repeatable,
    long maxOutputTokens,
    long reserveTokens,
    long deadlineMs) {

  /**
   * Names the request by what upstreams see of it, so that its repeats are known wherever they
   * come.
   *
   * @return the fingerprint
   */
  public Fingerprint fingerprint() {
    return Fingerprint.of(
        key.team(),
        request.method(),
        request.service(),
        request.path(),
        ByteBuffer.wrap(request.body().forUpstream(maxOutputTokens)));
  }

  /**
   * Says what a whole answer costs.
   *
   * @param status the HTTP status
   * @param usageTokens what the upstream reported
   * @return tokens, at most what was reserved
   */
  public long cost(int status, long usageTokens) {
    if (service.type() == ServiceType.MODEL) {
      return Math.min(usageTokens, reserveTokens);
    }
    boolean failed = status >= 500;
    return failed ? 0 : reserveTokens;
  }
}
