package io.mothrill.core.platform;

import java.util.Objects;

/**
 * The address of one row in the table service.
 *
 * @param table the table's name
 * @param key the row's key, unique in its table; tables are ordered by it
 */
public record RowKey(String table, String key) {

  /** Checks that both parts are there. */
  public RowKey {
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(key, "key");
  }
}
