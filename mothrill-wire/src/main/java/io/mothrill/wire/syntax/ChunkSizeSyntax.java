package io.mothrill.wire.syntax;

/** The line in front of the data of a chunk: its size and extensions, which are ignored. */
final class ChunkSizeSyntax implements SyntaxPart {

  private static final int RADIX = 16;

  private enum State {
    LINE_START,
    SIZE,
    PADDING,
    EXTENSION,
    LINE_END
  }

  private State state = State.LINE_START;
  private long sizeBytes;

  /** Returns the size that the last line states. */
  long sizeBytes() {
    return sizeBytes;
  }

  @Override
  public Result accept(byte next) {
    if (state == State.LINE_END) {
      state = State.LINE_START;
      return next == Octets.LF ? Result.COMPLETE : Result.INVALID;
    }
    return isNext(next) ? Result.INCOMPLETE : Result.INVALID;
  }

  private boolean isNext(byte next) {
    int digit = Character.digit(next, RADIX);
    if (state == State.LINE_START) {
      state = State.SIZE;
      sizeBytes = digit;
      return digit >= 0;
    }
    if (next == Octets.CR) {
      state = State.LINE_END;
      return true;
    }
    if (state == State.EXTENSION) {
      return Octets.isText(next);
    }
    if (state == State.SIZE && digit >= 0) {
      sizeBytes = sizeBytes * RADIX + digit;
      return sizeBytes <= Integer.MAX_VALUE;
    }
    state = next == ';' ? State.EXTENSION : State.PADDING;
    return next == ';' || Octets.isBlank(next);
  }

  @Override
  public String name() {
    return "chunk size";
  }
}
