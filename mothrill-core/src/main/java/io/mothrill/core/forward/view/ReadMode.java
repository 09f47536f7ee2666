package io.mothrill.core.forward.view;

/** How much of a table a read returns. */
public enum ReadMode {
  /** All current rows. */
  FULL,
  /** Only changes since the last read, which is sufficient unless a change was missed. */
  INCREMENTAL
}
