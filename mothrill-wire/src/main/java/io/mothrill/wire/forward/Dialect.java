package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.ForwardCall;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Maps between the header names of callers and upstreams and mothrill's own types; makes no
 * decisions.
 */
public interface Dialect {

  /**
   * Reads the head of a caller's request.
   *
   * @param head its head
   * @return the request
   * @throws io.mothrill.core.error.InvalidInputException when a field is malformed
   */
  ForwardCall readRequest(HttpRequest head);

  /**
   * Returns the headers of a request to an upstream.
   *
   * @param fromCaller the caller's headers
   * @param context what mothrill adds to the request
   * @return the headers, without those that concern only one connection
   */
  HttpHeaders upstreamRequestHeaders(HttpHeaders fromCaller, UpstreamRequestContext context);

  /**
   * Reads the metadata of an upstream's response.
   *
   * @param head its head
   * @return the metadata
   */
  ResponseMetadata readResponseMetadata(HttpResponse head);

  /**
   * Returns the headers of a response to a caller.
   *
   * @param fromUpstream the upstream's headers
   * @return the headers, without those that concern only one connection
   */
  HttpHeaders callerResponseHeaders(HttpHeaders fromUpstream);

  /**
   * Returns the headers of a refusal.
   *
   * @param call the request; null when it was malformed
   * @param refusal the refusal
   * @return the headers
   */
  HttpHeaders refusalHeaders(ForwardCall call, ForwardRefusal refusal);
}
