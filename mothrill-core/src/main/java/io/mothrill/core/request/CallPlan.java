package io.mothrill.core.request;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceSpec;
import io.mothrill.core.resource.ServiceType;
import java.nio.ByteBuffer;

/**
 * A request together with the configuration that applies to it.
 *
 * @param request the request
 * @param service the service
 * @param budget the budget from which its tokens are reserved
 * @param key the request key
 * @param keyed true when the caller supplied the key, so that a retry may arrive at any instance
 * @param requestId the id of the run
 * @param priority the class
 * @param repeatable whether it may run again after an unknown outcome
 * @param maxOutputTokens the limit of output tokens
 * @param reserveTokens the maximum number of tokens that it can use
 * @param deadlineMs the deadline of the request on the timer service, in milliseconds
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
   * Returns the fingerprint of the request as upstreams receive it. It identifies repeats of the
   * request at any instance.
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
   * Returns the cost of a complete answer.
   *
   * @param status the HTTP status
   * @param usageTokens the usage reported by the upstream
   * @return tokens, at most the reserved ones
   */
  public long cost(int status, long usageTokens) {
    if (service.type() == ServiceType.MODEL) {
      return Math.min(usageTokens, reserveTokens);
    }
    boolean failed = status >= 500;
    return failed ? 0 : reserveTokens;
  }
}
