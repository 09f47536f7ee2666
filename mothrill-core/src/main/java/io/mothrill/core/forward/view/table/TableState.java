package io.mothrill.core.forward.view.table;

/**
 * How far an instance's copy of a table has got.
 *
 * @param table the table
 * @param changeVersion the version of the newest change in the copy
 * @param version the version of the store as of which the copy is complete; -1 if there is none
 * @param confirmedStoreMs when it was complete, on the clock of the store
 */
public record TableState(ViewTable table, long changeVersion, long version, long confirmedStoreMs) {

  /**
   * Checks whether another copy contains a change that this one lacks.
   *
   * @param other the state of the other copy of the same table
   * @return true if this copy is behind
   */
  public boolean isBehind(TableState other) {
    return other.changeVersion() > version;
  }

  /**
   * Checks whether both copies have the same rows.
   *
   * @param other the state of the other copy of the same table
   * @return true if neither copy contains a change that the other lacks
   */
  public boolean hasSameRows(TableState other) {
    return version >= 0 && other.version() >= 0 && !isBehind(other) && !other.isBehind(this);
  }
}
