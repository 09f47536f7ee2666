package io.mothrill.core.forward.view.table;

/**
 * A row of the platform's store.
 *
 * @param key its key in the table
 * @param version the version of the store in which it was last written
 * @param value its value
 */
public record StoredRow(String key, long version, RowValue value) {}
