package io.mothrill.core.platform;

import java.util.Objects;

/**
 * The key of a row in the table service.
 *
 * @param table the name of the table
 * @param key the key, unique in its table; rows are ordered by it
 */
public record RowKey(String table, String key) {

  /** Checks that neither component is null. */
  public RowKey {
    Objects.requireNonNull(table, "table");
    Objects.requireNonNull(key, "key");
  }
}
