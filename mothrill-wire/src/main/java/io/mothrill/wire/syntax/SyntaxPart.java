package io.mothrill.wire.syntax;

/** The grammar of one part of a message, which is checked byte by byte. */
interface SyntaxPart {

  /** What a byte means for the part. */
  enum Result {
    INCOMPLETE,
    COMPLETE,
    INVALID
  }

  /**
   * Checks the next byte. The part begins anew after its last one.
   *
   * @param next the byte
   * @return whether the part is complete, or invalid with this byte
   */
  Result accept(byte next);

  /**
   * Skips bytes that may be of any kind.
   *
   * @param maxBytes how many bytes there are
   * @return how many of them are skipped
   */
  default int skip(int maxBytes) {
    return 0;
  }

  /** Returns the name of the part for the log. */
  String name();
}
