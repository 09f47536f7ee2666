package io.mothrill.core.platform;

/**
 * A row as it was read.
 *
 * @param key the key of the row
 * @param version the number of changes to the row; 0 when the row does not exist
 * @param cells the cells; empty when the row does not exist
 */
public record Row(RowKey key, long version, Cells cells) {

  /**
   * Returns the representation of a row that does not exist.
   *
   * @param key the key of the row
   * @return a row with version 0 and no cells
   */
  public static Row absent(RowKey key) {
    return new Row(key, 0, Cells.empty());
  }

  /**
   * Checks whether the row exists.
   *
   * @return true when the row exists
   */
  public boolean exists() {
    return version > 0;
  }
}
