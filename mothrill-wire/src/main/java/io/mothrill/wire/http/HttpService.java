package io.mothrill.wire.http;

import java.util.concurrent.CompletableFuture;

/** Handles the requests to an {@link HttpServer}. */
@FunctionalInterface
public interface HttpService {

  /**
   * Handles a request.
   *
   * @param request the request
   * @return the response; a failed future results in status 400 for invalid input and 500 otherwise
   */
  CompletableFuture<HttpReply> serve(HttpServerRequest request);
}
