package io.mothrill.wire.syntax;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/** The classes of bytes in the grammar of HTTP. */
final class Octets {

  static final byte CR = '\r';
  static final byte LF = '\n';
  static final byte SPACE = ' ';
  static final byte TAB = '\t';
  static final String LINE_END = "\r\n";

  private static final byte DELETE = 0x7f;
  private static final BitSet TOKEN = new BitSet();

  static {
    TOKEN.set('0', '9' + 1);
    TOKEN.set('A', 'Z' + 1);
    TOKEN.set('a', 'z' + 1);
    "!#$%&'*+-.^_`|~".chars().forEach(TOKEN::set);
  }

  private Octets() {}

  /** Checks for a character of a token, such as the name of a field. */
  static boolean isToken(byte next) {
    return next >= 0 && TOKEN.get(next);
  }

  /** Checks for a character of the value of a field or of a reason phrase. */
  static boolean isText(byte next) {
    return next == TAB || next < 0 || next >= SPACE && next != DELETE;
  }

  static boolean isBlank(byte next) {
    return next == SPACE || next == TAB;
  }

  static boolean isDigit(byte next) {
    return next >= '0' && next <= '9';
  }

  /** Returns bytes as text in which those that do not print are escaped. */
  static String describe(ByteBuf bytes, int start, int end) {
    StringBuilder text = new StringBuilder();
    bytes
        .toString(start, end - start, StandardCharsets.ISO_8859_1)
        .chars()
        .forEach(
            next ->
                text.append(
                    next >= SPACE && next < DELETE
                        ? Character.toString(next)
                        : String.format("\\x%02x", next)));
    return text.toString();
  }
}
