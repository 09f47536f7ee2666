package io.mothrill.wire.syntax;

/**
 * The fields of a head or a trailer section, up to the empty line behind them. A field may be
 * folded; blanks in front of its colon are invalid.
 */
final class FieldLinesSyntax implements SyntaxPart {

  private enum State {
    LINE_START,
    NAME,
    VALUE,
    LINE_END,
    SECTION_END
  }

  private State state = State.LINE_START;
  private boolean hasField;

  @Override
  public Result accept(byte next) {
    if (state == State.SECTION_END && next == Octets.LF) {
      state = State.LINE_START;
      hasField = false;
      return Result.COMPLETE;
    }
    return isNext(next) ? Result.INCOMPLETE : Result.INVALID;
  }

  private boolean isNext(byte next) {
    return switch (state) {
      case LINE_START -> isLineStart(next);
      case NAME -> isName(next);
      case VALUE -> isValue(next);
      case LINE_END -> isLineEnd(next);
      case SECTION_END -> false;
    };
  }

  private boolean isLineStart(byte next) {
    if (next == Octets.CR) {
      state = State.SECTION_END;
      return true;
    }
    if (Octets.isBlank(next)) {
      state = State.VALUE;
      return hasField;
    }
    state = State.NAME;
    return Octets.isToken(next);
  }

  private boolean isName(byte next) {
    if (next == ':') {
      state = State.VALUE;
      hasField = true;
      return true;
    }
    return Octets.isToken(next);
  }

  private boolean isValue(byte next) {
    if (next == Octets.CR) {
      state = State.LINE_END;
      return true;
    }
    return Octets.isText(next);
  }

  private boolean isLineEnd(byte next) {
    state = State.LINE_START;
    return next == Octets.LF;
  }

  @Override
  public String name() {
    return "field line";
  }
}
