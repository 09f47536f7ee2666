package io.mothrill.wire.syntax;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;

/**
 * Checks the bytes of the messages on one connection before they are decoded; confined to the event
 * loop of the connection.
 *
 * <p>A decoder skips what it does not understand, and what it has skipped is not seen in its
 * result. Here, each byte has to fit into the grammar of RFC 9112.
 */
public final class MessageSyntax {

  /** How much of an invalid line is described. */
  private static final int MAX_DESCRIBED_BYTES = 60;

  /** Decodes what is readable. */
  public interface Decoding {

    /** Decodes as much as possible. */
    void decode() throws Exception;
  }

  private final SyntaxPart startLine;
  private final SyntaxPart fields = new FieldLinesSyntax();
  private final ChunkedBodySyntax chunks = new ChunkedBodySyntax();
  private Optional<SyntaxPart> part;
  private int checkedBytes;
  private Optional<SyntaxException> violation = Optional.empty();

  private MessageSyntax(SyntaxPart startLine) {
    this.startLine = startLine;
    this.part = Optional.of(startLine);
  }

  /** Creates the check of a connection that carries responses. */
  public static MessageSyntax ofResponses() {
    return new MessageSyntax(new StatusLineSyntax());
  }

  /** Expects the first byte of a message next. */
  public void startMessage() {
    part = Optional.of(startLine);
  }

  /**
   * Decodes what precedes the first invalid byte, if there is one.
   *
   * @param buffer what was received and not decoded yet
   * @param out receives what was decoded
   * @param decoding decodes a part of the buffer
   * @throws SyntaxException if nothing is left to be decoded before an invalid byte
   */
  public void decode(ByteBuf buffer, List<Object> out, Decoding decoding) throws Exception {
    int receivedEnd = buffer.writerIndex();
    int checkedEnd = check(buffer);
    if (violation.isPresent()) {
      buffer.writerIndex(checkedEnd);
    }
    try {
      decoding.decode();
    } finally {
      checkedBytes = Math.max(0, checkedEnd - buffer.readerIndex());
      buffer.writerIndex(receivedEnd);
    }
    if (violation.isPresent() && out.isEmpty()) {
      throw violation.get();
    }
    if (isBeforeChunks(out)) {
      part = Optional.of(chunks);
    }
  }

  /** Checks for the head of a message whose body follows. */
  private static boolean isBeforeChunks(List<Object> out) {
    return !out.isEmpty()
        && out.get(0) instanceof HttpMessage head
        && !(out.get(out.size() - 1) instanceof LastHttpContent)
        && HttpUtil.isTransferEncodingChunked(head);
  }

  /** Returns the end of the bytes that were checked; all of them are valid. */
  private int check(ByteBuf buffer) {
    int index = buffer.readerIndex() + checkedBytes;
    while (part.isPresent() && violation.isEmpty() && index < buffer.writerIndex()) {
      int skippedBytes = part.get().skip(buffer.writerIndex() - index);
      if (skippedBytes > 0) {
        index += skippedBytes;
        continue;
      }
      switch (part.get().accept(buffer.getByte(index))) {
        case INCOMPLETE -> index++;
        case COMPLETE -> {
          index++;
          part = part.filter(completed -> completed == startLine).map(completed -> fields);
        }
        default -> violation = Optional.of(describe(buffer, index));
      }
    }
    return index;
  }

  private SyntaxException describe(ByteBuf buffer, int index) {
    int earliest = Math.max(buffer.readerIndex(), index - MAX_DESCRIBED_BYTES);
    int start = index;
    while (start > earliest && buffer.getByte(start - 1) != Octets.LF) {
      start--;
    }
    return new SyntaxException(part.get().name(), Octets.describe(buffer, start, index + 1));
  }
}
