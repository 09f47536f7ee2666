package io.mothrill.wire.response;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Searches a sequence of bytes for the beginning of a status line, such as {@code HTTP/1.1 200}.
 *
 * <p>Where the beginning of one response is followed by another whole one, the status line of the
 * second one stands inside what looks like a single response, wherever the first one was cut.
 */
public final class StatusLineSearch implements ByteProcessor {

  /** The beginning of a status line; {@code #} stands for any digit. */
  private static final String BEGINNING = "HTTP/1.# ###";

  private static final String PROTOCOL = "HTTP/1.";

  private static final char ANY_DIGIT = '#';

  private int matched;

  /** Checks whether a text contains the beginning of a status line. */
  static boolean isIn(String text) {
    StatusLineSearch search = new StatusLineSearch();
    return text.contains(PROTOCOL) && text.chars().anyMatch(next -> !search.process((byte) next));
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
    } else {
      // The first character occurs only once, so a match can begin anew only there.
      matched = next == BEGINNING.charAt(0) ? 1 : 0;
    }
    return !isFound();
  }

  private boolean matches(byte next) {
    char expected = BEGINNING.charAt(matched);
    return expected == ANY_DIGIT ? next >= '0' && next <= '9' : next == expected;
  }
}
