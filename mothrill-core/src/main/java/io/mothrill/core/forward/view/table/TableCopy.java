package io.mothrill.core.forward.view.table;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

/**
 * An instance's copy of one table of the platform's store.
 *
 * <pre>{@code
 * TableCopy copy = new TableCopy(ViewTable.CONFIG);
 * copy.apply(read);
 * TableRead forAnother = copy.changesAfter(version).orElseThrow();
 * }</pre>
 *
 * <p>Reads may be late, duplicated or out of order, and come from the store or from other
 * instances. The store's version counter orders all changes, so it does not matter who passes a
 * change on: the copy only moves forward, and of each read only what is newer is applied.
 */
public final class TableCopy {

  /** Many more than are removed in the time for which an instance may be behind. */
  private static final int MAX_REMOVALS = 2_000;

  private final ViewTable table;
  private final AtomicReference<Content> content = new AtomicReference<>(Content.NONE);

  /**
   * The rows as of one version; immutable.
   *
   * @param removals the removals after {@code removalsAfterVersion}, by key
   */
  private record Content(
      long changeVersion,
      long version,
      long confirmedStoreMs,
      Map<String, StoredRow> rows,
      Map<String, Long> removals,
      long removalsAfterVersion) {

    private static final Content NONE =
        new Content(-1, -1, TableRead.UNCONFIRMED, Map.of(), Map.of(), Long.MAX_VALUE);

    Content with(TableRead read) {
      if (read.whole()) {
        return read.version() < version ? this : withWhole(read);
      }
      return this == NONE || read.version() <= version ? this : withChanges(read);
    }

    private Content withWhole(TableRead read) {
      Map<String, StoredRow> newRows =
          read.rows().stream()
              .collect(Collectors.toMap(StoredRow::key, row -> row, Content::newer, HashMap::new));
      Map<String, Long> newRemovals = new HashMap<>(removals);
      rows.keySet().stream()
          .filter(key -> !newRows.containsKey(key))
          .forEach(key -> newRemovals.put(key, read.version()));
      newRemovals.keySet().removeAll(newRows.keySet());
      return bounded(
          read, newRows, newRemovals, this == NONE ? read.version() : removalsAfterVersion);
    }

    private Content withChanges(TableRead read) {
      Map<String, StoredRow> newRows = new HashMap<>(rows);
      Map<String, Long> newRemovals = new HashMap<>(removals);
      read.rows().stream()
          .filter(row -> row.version() > version)
          .forEach(
              row -> {
                newRows.merge(row.key(), row, Content::newer);
                newRemovals.remove(row.key());
              });
      read.removals().entrySet().stream()
          .filter(removal -> removal.getValue() > version)
          .filter(removal -> isRemovedBy(removal, newRows))
          .forEach(
              removal -> {
                newRows.remove(removal.getKey());
                newRemovals.put(removal.getKey(), removal.getValue());
              });
      return bounded(read, newRows, newRemovals, removalsAfterVersion);
    }

    private static boolean isRemovedBy(
        Map.Entry<String, Long> removal, Map<String, StoredRow> rows) {
      StoredRow row = rows.get(removal.getKey());
      return row == null || row.version() <= removal.getValue();
    }

    private static StoredRow newer(StoredRow one, StoredRow other) {
      return one.version() >= other.version() ? one : other;
    }

    /** Forgets the oldest removals if there are too many. */
    private Content bounded(
        TableRead read,
        Map<String, StoredRow> newRows,
        Map<String, Long> newRemovals,
        long newRemovalsAfterVersion) {
      long completeAfterVersion = newRemovalsAfterVersion;
      if (newRemovals.size() > MAX_REMOVALS) {
        List<Map.Entry<String, Long>> oldest =
            newRemovals.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.naturalOrder()))
                .limit(newRemovals.size() - MAX_REMOVALS / 2)
                .toList();
        completeAfterVersion = oldest.get(oldest.size() - 1).getValue();
        long forgottenVersion = completeAfterVersion;
        newRemovals.values().removeIf(removed -> removed <= forgottenVersion);
      }
      return new Content(
          Math.max(changeVersion, newestChange(newRows, newRemovals)),
          Math.max(version, read.version()),
          Math.max(confirmedStoreMs, read.confirmedStoreMs()),
          Map.copyOf(newRows),
          Map.copyOf(newRemovals),
          completeAfterVersion);
    }

    private static long newestChange(Map<String, StoredRow> rows, Map<String, Long> removals) {
      long newestRow = rows.values().stream().mapToLong(StoredRow::version).max().orElse(0);
      long newestRemoval = removals.values().stream().mapToLong(Long::longValue).max().orElse(0);
      return Math.max(newestRow, newestRemoval);
    }

    Content confirmedBy(TableState other) {
      return new Content(
          changeVersion,
          Math.max(version, other.version()),
          Math.max(confirmedStoreMs, other.confirmedStoreMs()),
          rows,
          removals,
          removalsAfterVersion);
    }
  }

  /**
   * Creates a copy that has not been read yet.
   *
   * @param table the table
   */
  public TableCopy(ViewTable table) {
    this.table = table;
  }

  /**
   * Applies what is newer in a read.
   *
   * @param read the read
   * @return true if the rows have changed
   */
  public boolean apply(TableRead read) {
    Content before = content.getAndUpdate(current -> current.with(read));
    return content.get().changeVersion() > before.changeVersion();
  }

  /**
   * Returns the rows that the copy would have after applying a read.
   *
   * @param read the read
   * @return the rows, in no particular order
   */
  public Collection<StoredRow> preview(TableRead read) {
    return content.get().with(read).rows().values();
  }

  /**
   * Records that another instance has confirmed the same rows.
   *
   * @param other the state of the other instance's copy
   * @return true if the rows are the same
   */
  public boolean confirm(TableState other) {
    boolean same = state().hasSameRows(other);
    if (same) {
      content.updateAndGet(
          current -> stateOf(current).hasSameRows(other) ? current.confirmedBy(other) : current);
    }
    return same;
  }

  /**
   * Returns how far the copy has got.
   *
   * @return the state
   */
  public TableState state() {
    return stateOf(content.get());
  }

  private TableState stateOf(Content current) {
    return new TableState(
        table, current.changeVersion(), current.version(), current.confirmedStoreMs());
  }

  /**
   * Checks whether the table has been read.
   *
   * @return false until the first read of the whole table was applied
   */
  public boolean isKnown() {
    return content.get() != Content.NONE;
  }

  /**
   * Returns the rows.
   *
   * @return the rows, in no particular order
   */
  public Collection<StoredRow> rows() {
    return content.get().rows().values();
  }

  /**
   * Returns what another instance needs that has the table as of a version.
   *
   * @param afterVersion the version of the other copy; -1 if there is none
   * @return the changes since then, or all rows if the removals since then are not known; empty if
   *     this copy has not been read yet
   */
  public Optional<TableRead> changesAfter(long afterVersion) {
    Content current = content.get();
    if (current == Content.NONE) {
      return Optional.empty();
    }
    boolean whole = afterVersion < current.removalsAfterVersion();
    List<StoredRow> rows =
        current.rows().values().stream()
            .filter(row -> whole || row.version() > afterVersion)
            .toList();
    Map<String, Long> removals =
        whole
            ? Map.of()
            : current.removals().entrySet().stream()
                .filter(removal -> removal.getValue() > afterVersion)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    return Optional.of(
        new TableRead(whole, current.version(), current.confirmedStoreMs(), rows, removals));
  }
}
