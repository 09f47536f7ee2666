package io.mothrill.wire.syntax;

import io.netty.handler.codec.DecoderException;

/** Thrown for bytes that break the grammar of HTTP. */
public final class SyntaxException extends DecoderException {

  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param part the part of the message
   * @param line the line up to the invalid byte, escaped and shortened
   */
  SyntaxException(String part, String line) {
    super("invalid " + part + ": " + line);
  }
}
