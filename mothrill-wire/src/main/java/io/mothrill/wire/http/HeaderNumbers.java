package io.mothrill.wire.http;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Parses numbers in headers of other programs; invalid values are treated as absent. */
public final class HeaderNumbers {

  /** A decimal number without sign or exponent. */
  private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

  private static final int MS_PER_S = 1_000;

  /**
   * One hour. Longer values are ignored: a server that asks for more is gone rather than
   * overloaded.
   */
  private static final int MAX_RETRY_AFTER_S = 3_600;

  private HeaderNumbers() {}

  /**
   * Parses a decimal number.
   *
   * @param text the header value
   * @return the number; empty for any other text
   */
  public static OptionalDouble decimal(String text) {
    String number = text.strip();
    return DECIMAL.matcher(number).matches()
        ? OptionalDouble.of(Double.parseDouble(number))
        : OptionalDouble.empty();
  }

  /**
   * Parses a {@code Retry-After} header.
   *
   * @param text the header value, in seconds with an optional fraction
   * @return the delay in milliseconds; empty for a date or for more than one hour
   */
  public static OptionalLong retryAfterMs(String text) {
    OptionalDouble seconds = decimal(text);
    return seconds.isPresent() && seconds.getAsDouble() <= MAX_RETRY_AFTER_S
        ? OptionalLong.of((long) Math.ceil(seconds.getAsDouble() * MS_PER_S))
        : OptionalLong.empty();
  }
}
