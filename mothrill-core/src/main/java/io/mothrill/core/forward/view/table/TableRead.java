package io.mothrill.core.forward.view.table;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The rows that a read of a table has returned, from the store or from another instance.
 *
 * @param kind what the rows are
 * @param version the version of the store as of which the table is complete with these rows
 * @param changeVersion the version of the newest change that the read shows
 * @param confirmedStoreMs when the table was complete, on the clock of the store; {@link
 *     #UNCONFIRMED} if not known
 * @param rows the rows
 * @param removals the keys of removed rows, with the version of their removal; only of {@link
 *     Kind#CHANGES}
 * @param keys the keys of all rows of the table; only of {@link Kind#DIFFERENCE}
 */
public record TableRead(
    Kind kind,
    long version,
    long changeVersion,
    long confirmedStoreMs,
    List<StoredRow> rows,
    Map<String, Long> removals,
    Set<String> keys) {

  /** Stands for an unknown time; earlier than any other. */
  public static final long UNCONFIRMED = Long.MIN_VALUE / 2;

  /** What the rows of a read are. */
  public enum Kind {
    /** All rows of the table. */
    WHOLE,
    /** The rows changed and removed after a version, from the store's change feed. */
    CHANGES,
    /** The rows changed after a version, and the keys of all rows, from another instance. */
    DIFFERENCE
  }

  /** Copies the collections. */
  public TableRead {
    rows = List.copyOf(rows);
    removals = Map.copyOf(removals);
    keys = Set.copyOf(keys);
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
    return new TableRead(
        Kind.WHOLE, version, newest(rows, Map.of()), storeMs, rows, Map.of(), Set.of());
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
    long version = newest(rows, removals);
    return new TableRead(Kind.CHANGES, version, version, UNCONFIRMED, rows, removals, Set.of());
  }

  /**
   * Returns what another instance lacks.
   *
   * @param state the state of the copy that the rows are taken from
   * @param rows the rows changed after the version of the other instance's copy
   * @param keys the keys of all rows
   * @return the difference
   */
  public static TableRead difference(TableState state, List<StoredRow> rows, Set<String> keys) {
    return new TableRead(
        Kind.DIFFERENCE,
        state.version(),
        state.changeVersion(),
        state.confirmedStoreMs(),
        rows,
        Map.of(),
        keys);
  }

  private static long newest(List<StoredRow> rows, Map<String, Long> removals) {
    return LongStream.concat(
            rows.stream().mapToLong(StoredRow::version),
            removals.values().stream().mapToLong(Long::longValue))
        .max()
        .orElse(0);
  }

  /**
   * Checks that no value is out of range.
   *
   * @return false if no instance of this release can have sent it
   */
  public boolean isValid() {
    return version >= 0
        && changeVersion >= 0
        && Stream.concat(rows.stream().map(StoredRow::version), removals.values().stream())
            .allMatch(changed -> changed >= 0)
        && (kind != Kind.DIFFERENCE || rows.stream().map(StoredRow::key).allMatch(keys::contains));
  }
}
