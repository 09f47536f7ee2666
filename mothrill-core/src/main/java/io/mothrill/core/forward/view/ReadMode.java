package io.mothrill.core.forward.view;

/** How much of a table a read has to bring. */
public enum ReadMode {
  /** All that stands there now. */
  FULL,
  /** What has changed since the last read, which is enough as long as nothing was missed. */
  INCREMENTAL
}
