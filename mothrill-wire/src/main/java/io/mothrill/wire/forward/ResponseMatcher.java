package io.mothrill.wire.forward;

import io.mothrill.wire.response.ConnectionUse;
import io.mothrill.wire.response.ResponseHeadCheck;
import io.mothrill.wire.response.SurplusLog;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Matches the responses on one connection with the request that it carries; confined to the event
 * loop of the connection.
 *
 * <p>Responses to earlier requests of the connection are skipped within limits. A response that
 * cannot be attributed to a request is a problem, after which the connection must be closed.
 */
final class ResponseMatcher {

  private static final int FIRST_ERROR_STATUS = 400;

  /**
   * Whose response a head begins.
   *
   * @param isOwn whether it is the response to the request in flight; a response to an earlier one
   *     is skipped
   * @param isReusable whether the connection may carry another request after this response
   * @param problem why the response cannot be attributed; empty if it can
   */
  record Match(boolean isOwn, boolean isReusable, Optional<String> problem) {

    private static Match ofProblem(String problem) {
      return new Match(false, false, Optional.of(problem));
    }
  }

  private final SurplusLog log;
  private final SkippedResponses skipped = new SkippedResponses();
  private ConnectionUse use;
  private boolean skipping;

  /**
   * Creates the matcher of a connection that has carried nothing.
   *
   * @param log receives what arrives beyond the responses
   * @param use names the connection
   */
  ResponseMatcher(SurplusLog log, ConnectionUse use) {
    this.log = log;
    this.use = use;
  }

  /** Returns how far the connection has been used. */
  ConnectionUse use() {
    return use;
  }

  /** Called when a request is sent on the connection. */
  void onRequest(String requestId) {
    use = use.withRequest(requestId);
    skipping = false;
    skipped.onRequest();
  }

  /** Matches a head with the request in flight. */
  Match match(HttpResponse head, ResponseMetadata metadata, long nowMs) {
    boolean first = use.requestCount() == 1 && !skipped.hasSkipped();
    ResponseHeadCheck.Result check = ResponseHeadCheck.check(head, first);
    if (check == ResponseHeadCheck.Result.JOINED || metadata.isContradictory()) {
      onSurplus(SurplusLog.Place.IN_HEAD, 0, "");
      return Match.ofProblem("head may be joined from two responses");
    }
    Optional<String> answeredId = metadata.requestId();
    if (answeredId.isPresent() && !answeredId.get().equals(use.lastRequestId())) {
      return matchOther(answeredId.get(), nowMs);
    }
    if (answeredId.isEmpty() && (!first || head.status().code() < FIRST_ERROR_STATUS)) {
      return Match.ofProblem("response has no request id");
    }
    boolean isReusable = check == ResponseHeadCheck.Result.SINGLE && answeredId.isPresent();
    return new Match(true, isReusable, Optional.empty());
  }

  private Match matchOther(String otherId, long nowMs) {
    onSurplus(SurplusLog.Place.OTHER_RESPONSE, 0, "response to " + otherId);
    if (!use.hasCarried(otherId)) {
      return Match.ofProblem("response to a request that was not sent here");
    }
    skipping = true;
    skipped.onHead(nowMs);
    return new Match(false, false, findExcess(nowMs));
  }

  private Optional<String> findExcess(long nowMs) {
    return skipped.isExceeded(nowMs) ? Optional.of(skipped.describe(nowMs)) : Optional.empty();
  }

  /** Checks whether the response that arrives belongs to an earlier request. */
  boolean isSkipping() {
    return skipping;
  }

  /**
   * Skips a part of a response to an earlier request.
   *
   * @return why no more can be skipped; empty if it can
   */
  Optional<String> skip(HttpContent content, long nowMs) {
    skipping = !(content instanceof LastHttpContent);
    if (skipped.onContent(content)) {
      onSurplus(SurplusLog.Place.IN_OTHER_RESPONSE, 0, "");
      return Optional.of("a response begins inside one to another request");
    }
    return findExcess(nowMs);
  }

  /** Logs bytes that belong to no response. */
  void onSurplus(SurplusLog.Place place, long byteCount, String detail) {
    log.onSurplus(new SurplusLog.Surplus(place, byteCount, use, detail));
  }
}
