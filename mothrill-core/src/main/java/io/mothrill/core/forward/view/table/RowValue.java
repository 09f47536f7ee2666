package io.mothrill.core.forward.view.table;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * The value of a row; immutable.
 *
 * <p>The compressed form is computed at most once: a plan with thousands of routes is passed on to
 * several instances, and compressing it takes a small instance longer than sending it.
 */
public final class RowValue {

  private static final int BUFFER_BYTES = 16_384;

  private final byte[] bytes;
  private volatile byte[] deflated;

  private RowValue(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Creates a value.
   *
   * @param bytes the bytes; must not be modified afterwards
   * @return the value
   */
  public static RowValue of(byte[] bytes) {
    return new RowValue(bytes);
  }

  /**
   * Creates a value from its compressed form.
   *
   * @param deflated the compressed bytes; must not be modified afterwards
   * @param maxBytes the largest accepted size, uncompressed
   * @return the value
   * @throws InvalidInputException if the bytes are not the result of {@link #deflated()} or too
   *     many
   */
  public static RowValue ofDeflated(byte[] deflated, int maxBytes) {
    RowValue value = new RowValue(inflate(deflated, maxBytes));
    value.deflated = deflated;
    return value;
  }

  private static byte[] inflate(byte[] deflated, int maxBytes) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
      ByteArrayOutputStream inflated = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        inflated.write(buffer, 0, count);
        if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
          throw invalid("is incomplete");
        }
        if (inflated.size() > maxBytes) {
          throw invalid("has more than " + maxBytes + " bytes");
        }
      }
      return inflated.toByteArray();
    } catch (DataFormatException ex) {
      throw invalid("is not compressed");
    } finally {
      inflater.end();
    }
  }

  private static InvalidInputException invalid(String reason) {
    return InvalidInputException.of(FieldError.refused("value", reason));
  }

  /**
   * Returns the bytes.
   *
   * @return the bytes; must not be modified
   */
  public byte[] bytes() {
    return bytes;
  }

  /**
   * Returns the compressed bytes.
   *
   * @return the bytes in the zlib format; must not be modified
   */
  public byte[] deflated() {
    byte[] known = deflated;
    if (known == null) {
      known = deflate(bytes);
      deflated = known;
    }
    return known;
  }

  private static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return compressed.toByteArray();
    } finally {
      deflater.end();
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof RowValue value && Arrays.equals(value.bytes, bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return bytes.length + " bytes";
  }
}
