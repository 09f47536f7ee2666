package io.mothrill.core.forward.view.table;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An instance's copy of one table of the platform's store.
 *
 * <pre>{@code
 * TableCopy copy = new TableCopy(ViewTable.CONFIG);
 * copy.apply(read);
 * TableRead forAnother = copy.differenceAfter(version).orElseThrow();
 * }</pre>
 *
 * <p>Reads may be late, duplicated or out of order, and come from the store or from other
 * instances. The store's version counter orders all changes, so it does not matter who passes a
 * change on: the copy only moves forward, and of each read only what is newer is applied.
 */
public final class TableCopy {

  private final ViewTable table;
  private final AtomicReference<Content> content = new AtomicReference<>(Content.NONE);

  /** The rows by key as of one version; immutable. */
  private record Content(
      long changeVersion, long version, long confirmedStoreMs, Map<String, StoredRow> rows) {

    private static final Content NONE = new Content(-1, -1, TableRead.UNCONFIRMED, Map.of());

    Content with(TableRead read) {
      boolean isOlder = read.version() < version;
      return switch (read.kind()) {
        case WHOLE -> isOlder ? completeAt(read.confirmedStoreMs()) : withWhole(read);
        case CHANGES -> this == NONE || read.version() <= version ? this : withChanges(read);
        case DIFFERENCE -> isOlder ? this : withDifference(read);
      };
    }

    /** What has a later version was complete at any earlier time. */
    private Content completeAt(long storeMs) {
      return new Content(changeVersion, version, Math.max(confirmedStoreMs, storeMs), rows);
    }

    /** A row may be gone without a removal in the read, which then happened by its version. */
    private Content withWhole(TableRead read) {
      Map<String, StoredRow> newRows = byKey(read.rows());
      boolean isAnyGone = !newRows.keySet().containsAll(rows.keySet());
      return at(read, isAnyGone ? read.version() : read.changeVersion(), newRows);
    }

    private Content withChanges(TableRead read) {
      Map<String, StoredRow> newRows = new HashMap<>(rows);
      read.rows().stream()
          .filter(row -> row.version() > version)
          .forEach(row -> newRows.merge(row.key(), row, Content::newer));
      read.removals().entrySet().stream()
          .filter(removal -> removal.getValue() > version)
          .forEach(
              removal ->
                  newRows.computeIfPresent(
                      removal.getKey(),
                      (key, row) -> row.version() > removal.getValue() ? row : null));
      return at(read, read.changeVersion(), newRows);
    }

    /** Takes unchanged rows from this content; a difference from a later version lacks some. */
    private Content withDifference(TableRead read) {
      Map<String, StoredRow> newRows = new HashMap<>(rows);
      read.rows().forEach(row -> newRows.merge(row.key(), row, Content::newer));
      newRows.keySet().retainAll(read.keys());
      return newRows.size() == read.keys().size() ? at(read, read.changeVersion(), newRows) : this;
    }

    private Content at(TableRead read, long newChangeVersion, Map<String, StoredRow> newRows) {
      return new Content(
          Math.max(changeVersion, newChangeVersion),
          Math.max(version, read.version()),
          Math.max(confirmedStoreMs, read.confirmedStoreMs()),
          Map.copyOf(newRows));
    }

    private static Map<String, StoredRow> byKey(Collection<StoredRow> rows) {
      return rows.stream()
          .collect(Collectors.toMap(StoredRow::key, Function.identity(), Content::newer));
    }

    private static StoredRow newer(StoredRow one, StoredRow other) {
      return one.version() >= other.version() ? one : other;
    }

    Content confirmedBy(TableState other) {
      return new Content(
          changeVersion,
          Math.max(version, other.version()),
          Math.max(confirmedStoreMs, other.confirmedStoreMs()),
          rows);
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
   * @param read the read; changes and differences after a version that this copy has had
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
   * @return false until all rows of the table are known
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
   * @return the difference; empty if this copy has not been read yet
   */
  public Optional<TableRead> differenceAfter(long afterVersion) {
    Content current = content.get();
    if (current == Content.NONE) {
      return Optional.empty();
    }
    List<StoredRow> changed =
        current.rows().values().stream().filter(row -> row.version() > afterVersion).toList();
    return Optional.of(TableRead.difference(stateOf(current), changed, current.rows().keySet()));
  }
}
