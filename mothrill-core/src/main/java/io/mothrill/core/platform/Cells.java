package io.mothrill.core.platform;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The named cells of a row; each holds an integer or a string.
 *
 * <pre>{@code
 * Cells cells = Cells.empty().with("paid", 1_000).with("team", "sira");
 * long paid = cells.number("paid");
 * }</pre>
 */
public final class Cells {

  private static final Cells EMPTY = new Cells(new TreeMap<>());

  private final Map<String, Object> values;

  private Cells(Map<String, Object> values) {
    this.values = Collections.unmodifiableMap(values);
  }

  /**
   * Returns an empty set of cells.
   *
   * @return no cells
   */
  public static Cells empty() {
    return EMPTY;
  }

  /**
   * Creates a builder for many cells; {@link #with(String, long)} copies all cells on each call.
   *
   * @return an empty builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects cells without copying them on each addition. */
  public static final class Builder {
    private final Map<String, Object> values = new TreeMap<>();

    private Builder() {}

    /**
     * Adds or replaces an integer.
     *
     * @param name the cell's name
     * @param value the integer
     */
    public void add(String name, long value) {
      values.put(name, value);
    }

    /**
     * Adds or replaces a string.
     *
     * @param name the cell's name
     * @param value the string
     */
    public void add(String name, String value) {
      values.put(name, value);
    }

    /**
     * Builds the cells.
     *
     * @return the collected cells
     */
    public Cells build() {
      return new Cells(new TreeMap<>(values));
    }
  }

  /**
   * Adds or replaces an integer.
   *
   * @param name the cell's name
   * @param value the integer
   * @return a copy with the cell
   */
  public Cells with(String name, long value) {
    return withObject(name, value);
  }

  /**
   * Adds or replaces a string.
   *
   * @param name the cell's name
   * @param value the string
   * @return a copy with the cell
   */
  public Cells with(String name, String value) {
    return withObject(name, value);
  }

  /**
   * Returns an integer.
   *
   * @param name the cell's name
   * @return the integer; 0 when the cell is absent or a string
   */
  public long number(String name) {
    return values.get(name) instanceof Long number ? number : 0;
  }

  /**
   * Returns a string.
   *
   * @param name the cell's name
   * @return the string; empty when the cell is absent or an integer
   */
  public String text(String name) {
    return values.get(name) instanceof String text ? text : "";
  }

  /**
   * Finds a cell.
   *
   * @param name the cell's name
   * @return the value of the cell, a {@code Long} or a {@code String}, or empty
   */
  public Optional<Object> find(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /**
   * Returns all cells, for codecs.
   *
   * @return an unmodifiable map by name; each value is a {@code Long} or a {@code String}
   */
  public Map<String, Object> asMap() {
    return values;
  }

  private Cells withObject(String name, Object value) {
    TreeMap<String, Object> copy = new TreeMap<>(values);
    copy.put(name, value);
    return new Cells(copy);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Cells cells && cells.values.equals(values);
  }

  @Override
  public int hashCode() {
    return values.hashCode();
  }

  @Override
  public String toString() {
    return values.toString();
  }
}
