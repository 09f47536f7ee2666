package io.mothrill.wire.platform;

import io.mothrill.core.platform.ObjectStore;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {

  private final PlatformClient platform;

  /**
   * Creates the client.
   *
   * @param http the HTTP client
   * @param platform the address of the platform
   * @param timeoutMs how long to wait for a response
   */
  public HttpObjectStore(HttpClient http, Address platform, long timeoutMs) {
    this.platform = new PlatformClient(http, platform, timeoutMs);
  }

  @Override
  public CompletableFuture<Void> put(String name, byte[] content) {
    return platform.call(HttpMethod.PUT, "/objects/" + name, content).thenAccept(ignored -> {});
  }

  @Override
  public CompletableFuture<Optional<byte[]>> get(String name) {
    return platform
        .call(HttpMethod.GET, "/objects/" + name, new byte[0])
        .thenApply(reply -> reply.isSuccess() ? Optional.of(reply.body()) : Optional.empty());
  }
}
