package io.mothrill.wire.syntax;

/** A body of chunks with its trailer section. */
final class ChunkedBodySyntax implements SyntaxPart {

  private final ChunkSizeSyntax size = new ChunkSizeSyntax();
  private final SyntaxPart trailers = new FieldLinesSyntax();
  private SyntaxPart part = size;

  /** The rest of a chunk and its line end; 0 in front of a chunk. */
  private long remainingBytes;

  @Override
  public int skip(int maxBytes) {
    long dataBytes = Math.max(0, remainingBytes - Octets.LINE_END.length());
    int skippedBytes = (int) Math.min(maxBytes, dataBytes);
    remainingBytes -= skippedBytes;
    return skippedBytes;
  }

  @Override
  public Result accept(byte next) {
    if (remainingBytes > 0) {
      char expected = Octets.LINE_END.charAt((int) (Octets.LINE_END.length() - remainingBytes--));
      return next == expected ? Result.INCOMPLETE : Result.INVALID;
    }
    Result result = part.accept(next);
    if (result == Result.COMPLETE && part == trailers) {
      part = size;
      return Result.COMPLETE;
    }
    if (result == Result.COMPLETE && size.sizeBytes() == 0) {
      part = trailers;
    } else if (result == Result.COMPLETE) {
      remainingBytes = size.sizeBytes() + Octets.LINE_END.length();
    }
    return result == Result.INVALID ? Result.INVALID : Result.INCOMPLETE;
  }

  @Override
  public String name() {
    return remainingBytes > 0 ? "end of a chunk" : part.name();
  }
}
