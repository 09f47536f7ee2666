package io.mothrill.wire.response;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.IntConsumer;

/** Decodes the responses of one connection; confined to its event loop. */
public final class ResponseDecoder extends HttpResponseDecoder {

  private final IntConsumer onSurplus;
  private HttpMethod method = HttpMethod.GET;
  private boolean expecting;

  /**
   * Creates the decoder of a connection on which no response is expected yet.
   *
   * @param config the limits of lines, headers and chunks
   * @param onSurplus called with the number of bytes that have arrived while no response was
   *     expected
   */
  public ResponseDecoder(HttpDecoderConfig config, IntConsumer onSurplus) {
    super(config);
    this.onSurplus = onSurplus;
  }

  /**
   * Expects one response; called before its request is sent.
   *
   * @param newMethod the method of the request
   */
  public void expectResponse(HttpMethod newMethod) {
    method = newMethod;
    expecting = true;
  }

  /** Returns the number of bytes that have arrived and belong to no complete object yet. */
  public int undecodedBytes() {
    return actualReadableBytes();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (!expecting && buffer.isReadable()) {
      onSurplus.accept(buffer.readableBytes());
    }
    super.decode(ctx, buffer, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      expecting = false;
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
