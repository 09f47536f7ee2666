package io.mothrill.core.forward.view.table;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The rows that a read of a table has returned, from the store or from another instance.
 *
 * @param whole whether these are all rows of the table, or only the ones changed after a version
 * @param version the version of the store as of which the rows are complete
 * @param confirmedStoreMs when they were complete, on the clock of the store; {@link #UNCONFIRMED}
 *     if not known
 * @param rows the rows
 * @param removals the keys of removed rows, with the version of their removal
 */
public record TableRead(
    boolean whole,
    long version,
    long confirmedStoreMs,
    List<StoredRow> rows,
    Map<String, Long> removals) {

  /** Stands for an unknown time; earlier than any other. */
  public static final long UNCONFIRMED = Long.MIN_VALUE / 2;

  /** Copies rows and removals. */
  public TableRead {
    rows = List.copyOf(rows);
    removals = Map.copyOf(removals);
  }

  /**
   * Returns the result of a read of the whole table.
   *
   * @param version the version of the store that it reflects
   * @param storeMs the time on the store's clock
   * @param rows all rows
   * @return the result
   */
  public static TableRead whole(long version, long storeMs, List<StoredRow> rows) {
    return new TableRead(true, version, storeMs, rows, Map.of());
  }

  /**
   * Returns the result of a read of the change feed.
   *
   * <p>It reflects the newest change that it contains, not the version that the store gives for the
   * answer: a feed can be silent while changes are made, or show a version before its rows. What an
   * answer does not contain would then be missed by all later reads as well.
   *
   * @param rows the changed rows
   * @param removals the keys of removed rows, with the version of their removal
   * @return the result
   */
  public static TableRead changes(List<StoredRow> rows, Map<String, Long> removals) {
    long newestVersion =
        LongStream.concat(
                rows.stream().mapToLong(StoredRow::version),
                removals.values().stream().mapToLong(Long::longValue))
            .max()
            .orElse(0);
    return new TableRead(false, newestVersion, UNCONFIRMED, rows, removals);
  }

  /**
   * Checks that no value is out of range.
   *
   * @return false if no instance of this release can have sent it
   */
  public boolean isValid() {
    return version >= 0
        && (!whole || removals.isEmpty())
        && Stream.concat(rows.stream().map(StoredRow::version), removals.values().stream())
            .allMatch(changed -> changed >= 0);
  }
}
