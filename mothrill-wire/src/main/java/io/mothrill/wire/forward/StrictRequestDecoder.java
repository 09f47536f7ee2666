package io.mothrill.wire.forward;

import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import io.mothrill.wire.syntax.TransferCodings;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Decodes requests and rejects those whose end is ambiguous.
 *
 * <p>A request with both a length and chunked encoding, or with a transfer coding that not every
 * implementation knows, allows request smuggling: what one program takes for the body is the next
 * request for another, which no caller has sent. Such a request is rejected unread; Netty itself
 * rejects duplicate lengths and malformed header names.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final int MAX_CHUNK_BYTES = 8_192;

  StrictRequestDecoder(int maxLineBytes, int maxHeaderBytes) {
    super(maxLineBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
  }

  /** Returns why a request that could not be decoded is refused. */
  static Cause failureCause(HttpObject undecoded) {
    Throwable error = undecoded.decoderResult().cause();
    boolean tooLong =
        error instanceof TooLongHttpHeaderException || error instanceof TooLongHttpLineException;
    return tooLong ? Cause.HEAD_TOO_LONG : Cause.MALFORMED;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked encoding");
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    TransferCodings.check(message);
    return super.isContentAlwaysEmpty(message);
  }
}
