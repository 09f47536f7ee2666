package io.mothrill.core.forward.view.exchange;

import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import java.util.Optional;

/** The copies of tables that an instance passes on, and into which it merges what it gets. */
public interface TableMerger {

  /**
   * Returns how far the copy of a table has got.
   *
   * @param table the table
   * @return the state
   */
  TableState state(ViewTable table);

  /**
   * Checks whether the own reads of a table are being answered.
   *
   * @param table the table
   * @return false if no answer has arrived for longer than the interval of reads
   */
  boolean isReadable(ViewTable table);

  /**
   * Returns what another instance needs.
   *
   * @param table the table
   * @param afterVersion the version of the other instance's copy
   * @return the difference; empty if this instance has no copy
   */
  Optional<TableRead> differenceAfter(ViewTable table, long afterVersion);

  /**
   * Merges changes that another instance has passed on.
   *
   * @param table the table
   * @param read the changes
   * @param requestedMs when they were requested
   * @return false if they are malformed or incomplete and were refused as a whole
   */
  boolean merge(ViewTable table, TableRead read, long requestedMs);

  /**
   * Records the state of another instance's copy.
   *
   * @param other the state
   */
  void confirm(TableState other);
}
