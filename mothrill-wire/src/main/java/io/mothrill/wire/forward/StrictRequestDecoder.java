package io.mothrill.wire.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Reads requests and refuses those whose end could be seen in two places.
 *
 * <p>Failure: a request gives a length and chunks, or a coding that only some understand. Symptom:
 * what one program takes for its body is the next request for another, which nobody has sent. Such
 * a request is not read at all; Netty itself refuses two lengths and malformed names.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  private static final int MAX_CHUNK_BYTES = 8_192;

  StrictRequestDecoder(int maxLineBytes, int maxHeaderBytes) {
    super(maxLineBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("length beside chunks");
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean plain =
        codings.isEmpty()
            || codings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
    if (!plain) {
      throw new IllegalArgumentException("unknown transfer coding");
    }
    return super.isContentAlwaysEmpty(message);
  }
}
