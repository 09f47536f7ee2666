package io.mothrill.wire.platform;

import io.mothrill.core.platform.InstanceList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.json.Json;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's instance list over HTTP. */
public final class HttpInstanceList implements InstanceList {

  private final PlatformClient platform;

  /**
   * Creates the client.
   *
   * @param http the HTTP client
   * @param platform the address of the platform
   * @param timeoutMs how long to wait for a response
   */
  public HttpInstanceList(HttpClient http, Address platform, long timeoutMs) {
    this.platform = new PlatformClient(http, platform, timeoutMs);
  }

  @Override
  public CompletableFuture<Void> announce(InstanceRecord instance) {
    return platform.postJson("/instances", InstanceJson.write(instance)).thenAccept(ignored -> {});
  }

  @Override
  public CompletableFuture<List<InstanceRecord>> list() {
    return platform
        .call(HttpMethod.GET, "/instances", new byte[0])
        .thenApply(
            reply -> {
              List<InstanceRecord> records = new ArrayList<>();
              Json.read(reply.body()).forEach(node -> records.add(InstanceJson.read(node)));
              return records;
            });
  }
}
