package io.mothrill.core.platform;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The named cells of one row: each is a whole number or a text.
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
   * Gives cells with nothing in them.
   *
   * @return the empty cells
   */
  public static Cells empty() {
    return EMPTY;
  }

  /**
   * Begins cells that get many values; each {@code with} of the cells themselves copies them all.
   *
   * @return a builder without cells
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects cells one by one. */
  public static final class Builder {
    private final Map<String, Object> values = new TreeMap<>();

    private Builder() {}

    /**
     * Adds or replaces a number.
     *
     * @param name the cell's name
     * @param value the number
     */
    public void add(String name, long value) {
      values.put(name, value);
    }

    /**
     * Adds or replaces a text.
     *
     * @param name the cell's name
     * @param value the text
     */
    public void add(String name, String value) {
      values.put(name, value);
    }

    /**
     * Ends the collection.
     *
     * @return the cells so far
     */
    public Cells build() {
      return new Cells(new TreeMap<>(values));
    }
  }

  /**
   * Adds or replaces a number.
   *
   * @param name the cell's name
   * @param value the number
   * @return a copy with the cell
   */
  public Cells with(String name, long value) {
    return withObject(name, value);
  }

  /**
   * Adds or replaces a text.
   *
   * @param name the cell's name
   * @param value the text
   * @return a copy with the cell
   */
  public Cells with(String name, String value) {
    return withObject(name, value);
  }

  /**
   * Reads a number.
   *
   * @param name the cell's name
   * @return the number, 0 when the cell is absent or a text
   */
  public long number(String name) {
    return values.get(name) instanceof Long number ? number : 0;
  }

  /**
   * Reads a text.
   *
   * @param name the cell's name
   * @return the text, empty when the cell is absent or a number
   */
  public String text(String name) {
    return values.get(name) instanceof String text ? text : "";
  }

  /**
   * Looks whether a cell is there.
   *
   * @param name the cell's name
   * @return the cell's value, a {@code Long} or a {@code String}
   */
  public Optional<Object> find(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /**
   * Shows all cells, for codecs.
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
