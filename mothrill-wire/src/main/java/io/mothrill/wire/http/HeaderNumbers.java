package io.mothrill.wire.http;

import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads numbers from headers of other programs; what is no number is taken as not said. */
public final class HeaderNumbers {

  /** A decimal number without a sign or an exponent. */
  private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

  private static final int MS_PER_S = 1_000;

  /** An hour; whoever wants to be left alone for longer has gone. */
  private static final int MAX_RETRY_AFTER_S = 3_600;

  private HeaderNumbers() {}

  /**
   * Reads a decimal number.
   *
   * @param text the header's value
   * @return the number; empty for any other text
   */
  public static OptionalDouble decimal(String text) {
    String number = text.strip();
    return DECIMAL.matcher(number).matches()
        ? OptionalDouble.of(Double.parseDouble(number))
        : OptionalDouble.empty();
  }

  /**
   * Reads when to come back.
   *
   * @param text the value of {@code Retry-After}, in seconds and parts of them
   * @return milliseconds; empty for a date, and for more than an hour
   */
  public static OptionalLong retryAfterMs(String text) {
    OptionalDouble seconds = decimal(text);
    return seconds.isPresent() && seconds.getAsDouble() <= MAX_RETRY_AFTER_S
        ? OptionalLong.of((long) Math.ceil(seconds.getAsDouble() * MS_PER_S))
        : OptionalLong.empty();
  }
}
