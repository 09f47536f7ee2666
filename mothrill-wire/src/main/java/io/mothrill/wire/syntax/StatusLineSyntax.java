package io.mothrill.wire.syntax;

/**
 * The status line of a response: version, three digits of which the first is not zero, and a reason
 * of any length. The space in front of an absent reason may be missing.
 */
final class StatusLineSyntax implements SyntaxPart {

  /** The beginning of the line; {@code #} stands for any digit, {@code +} for any but zero. */
  private static final String BEGINNING = "HTTP/1.# +##";

  /** Some servers send one behind the response before. */
  private static final int MAX_EMPTY_LINES = 8;

  private int matchedBytes;
  private int emptyLineCount;
  private boolean inReason;
  private boolean ending;

  @Override
  public Result accept(byte next) {
    if (ending) {
      return end(next);
    }
    if (next == Octets.CR && (matchedBytes == 0 || matchedBytes == BEGINNING.length())) {
      ending = true;
      return Result.INCOMPLETE;
    }
    if (next == Octets.LF && matchedBytes == 0) {
      return endEmptyLine();
    }
    return isNext(next) ? Result.INCOMPLETE : Result.INVALID;
  }

  private boolean isNext(byte next) {
    if (inReason) {
      return Octets.isText(next);
    }
    if (matchedBytes == BEGINNING.length()) {
      inReason = next == Octets.SPACE;
      return inReason;
    }
    char expected = BEGINNING.charAt(matchedBytes++);
    return switch (expected) {
      case '#' -> Octets.isDigit(next);
      case '+' -> Octets.isDigit(next) && next != '0';
      default -> next == expected;
    };
  }

  private Result end(byte next) {
    ending = false;
    if (next != Octets.LF) {
      return Result.INVALID;
    }
    if (matchedBytes == 0) {
      return endEmptyLine();
    }
    matchedBytes = 0;
    emptyLineCount = 0;
    inReason = false;
    return Result.COMPLETE;
  }

  private Result endEmptyLine() {
    return ++emptyLineCount > MAX_EMPTY_LINES ? Result.INVALID : Result.INCOMPLETE;
  }

  @Override
  public String name() {
    return "status line";
  }
}
