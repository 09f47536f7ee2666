package io.mothrill.wire.response;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Searches a sequence of bytes for the beginning of a status line, such as {@code HTTP/1.1 200}.
 *
 * <p>Where the beginning of one response is followed by another whole one, the status line of the
 * second one stands inside what looks like a single response, wherever the first one was cut.
 */
public final class StatusLineSearch implements ByteProcessor {

  /** The beginning of a status line; {@code #} stands for any digit. */
  private static final String BEGINNING = "HTTP/1.# ###";

  private static final char ANY_DIGIT = '#';
  private static final char SEPARATOR = ' ';
  private static final String PROTOCOL = "HTTP/1.";
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.\\d[ \\t\\x0b\\f]+(\\d{3})");

  private int matched;

  /** Returns the status codes of all status lines that begin in a text. */
  static IntStream statusesIn(String text) {
    return text.contains(PROTOCOL)
        ? STATUS.matcher(text).results().mapToInt(match -> Integer.parseInt(match.group(1)))
        : IntStream.empty();
  }

  /** Checks whether a text contains the beginning of a status line. */
  public static boolean isIn(String text) {
    return statusesIn(text).findAny().isPresent();
  }

  /** Checks whether the sequence contains the beginning of a status line, after these bytes. */
  public boolean find(ByteBuf bytes) {
    return isFound() || bytes.forEachByte(this) >= 0;
  }

  /** Starts a new sequence. */
  public void reset() {
    matched = 0;
  }

  private boolean isFound() {
    return matched == BEGINNING.length();
  }

  /** Returns false once the beginning of a status line is complete. */
  @Override
  public boolean process(byte next) {
    if (matches(next)) {
      matched++;
    } else if (!isSeparator(next) || matched == 0 || !isAfterSeparator()) {
      // The first character occurs only once, so a match can begin anew only there.
      matched = next == BEGINNING.charAt(0) ? 1 : 0;
    }
    return !isFound();
  }

  private boolean isAfterSeparator() {
    return BEGINNING.charAt(matched - 1) == SEPARATOR;
  }

  private boolean matches(byte next) {
    char expected = BEGINNING.charAt(matched);
    return switch (expected) {
      case ANY_DIGIT -> next >= '0' && next <= '9';
      case SEPARATOR -> isSeparator(next);
      default -> next == expected;
    };
  }

  /** Decoders accept any of these between the version and the status, also several. */
  private static boolean isSeparator(byte next) {
    return next == ' ' || next == '\t' || next == 0x0b || next == '\f';
  }
}
