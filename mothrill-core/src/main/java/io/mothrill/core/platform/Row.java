package io.mothrill.core.platform;

/**
 * One row as it was read.
 *
 * @param key the row's address
 * @param version counts the row's changes; 0 means that the row does not exist
 * @param cells the row's cells, empty when the row does not exist
 */
public record Row(RowKey key, long version, Cells cells) {

  /**
   * Describes a row that does not exist.
   *
   * @param key the row's address
   * @return a row with version 0 and no cells
   */
  public static Row absent(RowKey key) {
    return new Row(key, 0, Cells.empty());
  }

  /**
   * Says whether the row exists.
   *
   * @return true when the row was found
   */
  public boolean exists() {
    return version > 0;
  }
}
