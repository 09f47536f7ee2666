package io.mothrill.core.forward.view.exchange;

import io.mothrill.core.forward.view.table.TableState;
import java.util.List;

/**
 * Tells another instance how far the sender's copies of the tables have got.
 *
 * @param states the states of the copies
 */
public record ViewNotice(List<TableState> states) {

  /** Copies the states. */
  public ViewNotice {
    states = List.copyOf(states);
  }
}
