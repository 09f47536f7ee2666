package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.ForwardCall;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** The names that callers and upstreams use for what mothrill has to know; only translates. */
public interface Dialect {

  /**
   * Reads a caller's request.
   *
   * @param head its head
   * @return the request
   * @throws io.mothrill.core.error.InvalidInputException when a field cannot be read
   */
  ForwardCall readRequest(HttpRequest head);

  /**
   * Makes the headers of a request to an upstream.
   *
   * @param fromCaller the caller's headers
   * @param send what mothrill says itself
   * @return the headers, without those that concern only one connection
   */
  HttpHeaders upstreamRequestHeaders(HttpHeaders fromCaller, UpstreamRequestContext send);

  /**
   * Reads what an upstream's answer says of itself.
   *
   * @param head its head
   * @return the marks
   */
  ResponseMetadata readResponseMetadata(HttpResponse head);

  /**
   * Makes the headers of an answer to a caller.
   *
   * @param fromUpstream the upstream's headers
   * @return the headers, without those that concern only one connection
   */
  HttpHeaders callerResponseHeaders(HttpHeaders fromUpstream);

  /**
   * Makes the headers of a refusal.
   *
   * @param call the request; null when it could not be read
   * @param refusal why
   * @return the headers
   */
  HttpHeaders refusalHeaders(ForwardCall call, ForwardRefusal refusal);
}
