package io.mothrill.wire.platform;

import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.json.Json;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's table service over HTTP. */
public final class HttpTableService implements TableService {

  private final PlatformClient platform;

  /**
   * Creates the client.
   *
   * @param http the HTTP client
   * @param platform the address of the platform
   * @param timeoutMs how long to wait for a response
   */
  public HttpTableService(HttpClient http, Address platform, long timeoutMs) {
    this.platform = new PlatformClient(http, platform, timeoutMs);
  }

  @Override
  public CompletableFuture<List<Row>> read(List<RowKey> keys) {
    return platform.postJson("/table/read", TableJson.keys(keys)).thenApply(TableJson::readRows);
  }

  @Override
  public CompletableFuture<List<Row>> scan(
      String table, String prefix, String afterKey, int limit) {
    return platform
        .postJson(
            "/table/scan",
            Json.object()
                .put("table", table)
                .put("prefix", prefix)
                .put("afterKey", afterKey)
                .put("limit", limit))
        .thenApply(TableJson::readRows);
  }

  @Override
  public CompletableFuture<Boolean> write(Transaction transaction) {
    return platform
        .postJson("/table/write", TableJson.transaction(transaction))
        .thenApply(node -> node.path("written").asBoolean());
  }
}
