package io.mothrill.wire.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.Transaction;
import io.mothrill.wire.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts messages of the table service from and to JSON. */
public final class TableJson {

  private TableJson() {}

  /**
   * Serializes row keys.
   *
   * @param keys the keys
   * @return the request body
   */
  public static JsonNode keys(List<RowKey> keys) {
    ArrayNode array = Json.array();
    keys.forEach(key -> array.add(key(key)));
    return array;
  }

  private static ObjectNode key(RowKey key) {
    return Json.object().put("table", key.table()).put("key", key.key());
  }

  /**
   * Parses row keys.
   *
   * @param node the request body
   * @return the keys
   */
  public static List<RowKey> readKeys(JsonNode node) {
    List<RowKey> keys = new ArrayList<>();
    node.forEach(key -> keys.add(readKey(key)));
    return keys;
  }

  private static RowKey readKey(JsonNode node) {
    return new RowKey(node.path("table").asText(), node.path("key").asText());
  }

  /**
   * Serializes rows.
   *
   * @param rows the rows
   * @return the response body
   */
  public static JsonNode rows(List<Row> rows) {
    ArrayNode array = Json.array();
    rows.forEach(
        row ->
            array.add(
                key(row.key()).put("version", row.version()).set("cells", cells(row.cells()))));
    return array;
  }

  /**
   * Parses rows.
   *
   * @param node the response body
   * @return the rows
   */
  public static List<Row> readRows(JsonNode node) {
    List<Row> rows = new ArrayList<>();
    node.forEach(
        row ->
            rows.add(
                new Row(readKey(row), row.path("version").asLong(), readCells(row.path("cells")))));
    return rows;
  }

  /**
   * Serializes the cells of a row.
   *
   * @param cells the cells
   * @return an object with one field per cell
   */
  public static JsonNode cells(Cells cells) {
    ObjectNode node = Json.object();
    cells
        .asMap()
        .forEach(
            (name, value) -> {
              if (value instanceof Long number) {
                node.put(name, number.longValue());
              } else {
                node.put(name, (String) value);
              }
            });
    return node;
  }

  /**
   * Parses the cells of a row.
   *
   * @param node an object with one field per cell
   * @return the cells
   */
  public static Cells readCells(JsonNode node) {
    Cells.Builder cells = Cells.builder();
    node.fields().forEachRemaining(cell -> readCell(cell.getKey(), cell.getValue(), cells));
    return cells.build();
  }

  /**
   * Skips values of unsupported types: reading them as 0 would make them look like actual numbers.
   */
  private static void readCell(String name, JsonNode value, Cells.Builder cells) {
    if (value.isTextual()) {
      cells.add(name, value.asText());
    } else if (value.isIntegralNumber() && value.canConvertToLong()) {
      cells.add(name, value.asLong());
    }
  }

  /**
   * Serializes a transaction.
   *
   * @param transaction the transaction
   * @return the request body
   */
  public static JsonNode transaction(Transaction transaction) {
    ObjectNode node = Json.object();
    ArrayNode writes = node.putArray("writes");
    transaction
        .writes()
        .forEach(
            write -> {
              ObjectNode entry = key(write.key()).put("version", write.expectedVersion());
              write.cells().ifPresent(cells -> entry.set("cells", cells(cells)));
              writes.add(entry);
            });
    ArrayNode checks = node.putArray("checks");
    transaction
        .checks()
        .forEach(check -> checks.add(key(check.key()).put("version", check.expectedVersion())));
    return node;
  }

  /**
   * Parses a transaction.
   *
   * @param node the request body
   * @return the transaction
   */
  public static Transaction readTransaction(JsonNode node) {
    List<Transaction.Write> writes = new ArrayList<>();
    node.path("writes")
        .forEach(
            write ->
                writes.add(
                    new Transaction.Write(
                        readKey(write),
                        write.path("version").asLong(),
                        write.has("cells")
                            ? Optional.of(readCells(write.get("cells")))
                            : Optional.empty())));
    List<Transaction.Check> checks = new ArrayList<>();
    node.path("checks")
        .forEach(
            check ->
                checks.add(new Transaction.Check(readKey(check), check.path("version").asLong())));
    return new Transaction(writes, checks);
  }
}
