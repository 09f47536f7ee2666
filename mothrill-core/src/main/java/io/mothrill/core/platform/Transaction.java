package io.mothrill.core.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A set of row changes that are applied atomically.
 *
 * <pre>{@code
 * Transaction.on(row, newCells)   // only if the row still has the version that was read
 *     .and(otherRow, otherCells);
 * }</pre>
 *
 * @param writes the changes, each with the version that its row must have
 * @param checks conditions on rows that are not changed
 */
public record Transaction(List<Write> writes, List<Check> checks) {

  /** Copies the lists. */
  public Transaction {
    writes = List.copyOf(writes);
    checks = List.copyOf(checks);
  }

  /**
   * A change to one row.
   *
   * @param key the key of the row
   * @param expectedVersion the version that the row must have; 0 when it must not exist
   * @param cells the new cells; empty to delete the row
   */
  public record Write(RowKey key, long expectedVersion, Optional<Cells> cells) {}

  /**
   * A condition on a row that is not changed.
   *
   * @param key the key of the row
   * @param expectedVersion the version that the row must have; 0 when it must not exist
   */
  public record Check(RowKey key, long expectedVersion) {}

  /**
   * Starts a transaction with one change.
   *
   * @param read the row that was read
   * @param cells its new cells
   * @return the transaction
   */
  public static Transaction on(Row read, Cells cells) {
    return new Transaction(List.of(), List.of()).and(read, cells);
  }

  /**
   * Adds a change.
   *
   * @param read the row that was read
   * @param cells its new cells
   * @return a copy that includes the change
   */
  public Transaction and(Row read, Cells cells) {
    return plus(new Write(read.key(), read.version(), Optional.of(cells)));
  }

  /**
   * Adds a condition on a row that is not changed.
   *
   * @param read the row that was read
   * @return a copy that is applied only if the row still has the version that was read
   */
  public Transaction requiring(Row read) {
    List<Check> extended = new ArrayList<>(checks);
    extended.add(new Check(read.key(), read.version()));
    return new Transaction(writes, extended);
  }

  /**
   * Adds a deletion.
   *
   * @param read the row that was read
   * @return a copy that includes the deletion
   */
  public Transaction andDelete(Row read) {
    return plus(new Write(read.key(), read.version(), Optional.empty()));
  }

  private Transaction plus(Write write) {
    List<Write> extended = new ArrayList<>(writes);
    extended.add(write);
    return new Transaction(extended, checks);
  }
}
