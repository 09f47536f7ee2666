package io.mothrill.wire.http;

import java.util.concurrent.CompletableFuture;

/** What a small server does with a request. */
@FunctionalInterface
public interface HttpService {

  /**
   * Serves a request.
   *
   * @param input the request
   * @return the answer; a failed future becomes status 400 for wrong input and 500 otherwise
   */
  CompletableFuture<HttpReply> serve(HttpServerRequest input);
}
