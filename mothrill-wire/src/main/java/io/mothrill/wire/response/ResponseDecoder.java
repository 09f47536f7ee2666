package io.mothrill.wire.response;

import io.mothrill.wire.syntax.MessageSyntax;
import io.mothrill.wire.syntax.SyntaxException;
import io.mothrill.wire.syntax.TransferCodings;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Decodes the responses that were asked for on one connection; confined to its event loop.
 *
 * <p>Bytes that arrive while no response is expected are dropped before they are decoded. They
 * would otherwise become the beginning of the next response. Interim responses are dropped as well.
 * Bytes that break the grammar of HTTP fail before they are decoded.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

  /** Servers send one or two in front of a response. */
  private static final int MAX_INTERIM = 8;

  private final IntConsumer onSurplus;
  private final MessageSyntax syntax = MessageSyntax.ofResponses();
  private HttpMethod method = HttpMethod.GET;
  private boolean expecting;
  private int interimCount;

  /**
   * Creates the decoder of a connection on which no response is expected yet.
   *
   * @param config the limits of lines, headers and chunks
   * @param onSurplus called with the number of bytes that were dropped
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
    syntax.startMessage();
    interimCount = 0;
  }

  /** Returns the number of bytes that have arrived and belong to no complete object yet. */
  public int undecodedBytes() {
    return actualReadableBytes();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (!expecting) {
      drop(buffer);
      return;
    }
    try {
      syntax.decode(buffer, out, () -> super.decode(ctx, buffer, out));
    } catch (SyntaxException ex) {
      expecting = false;
      buffer.skipBytes(buffer.readableBytes());
      throw ex;
    }
    if (isInterim(out)) {
      dropInterim(out);
    } else if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      expecting = false;
    }
  }

  /**
   * Checks for an interim response, which precedes the response to the same request. A head that
   * could not be decoded or that may be joined from two responses is left to the handler.
   */
  private static boolean isInterim(List<Object> out) {
    return !out.isEmpty()
        && out.get(0) instanceof HttpResponse head
        && head.decoderResult().isSuccess()
        && head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && ResponseHeadCheck.check(head, false) == ResponseHeadCheck.Result.SINGLE;
  }

  private void dropInterim(List<Object> out) {
    final boolean switchesProtocol =
        HttpResponseStatus.SWITCHING_PROTOCOLS.equals(((HttpResponse) out.get(0)).status());
    out.clear();
    syntax.startMessage();
    interimCount++;
    if (switchesProtocol || interimCount > MAX_INTERIM) {
      expecting = false;
      throw new DecoderException("interim responses without end, or one that was not asked for");
    }
  }

  private void drop(ByteBuf buffer) {
    int bytes = buffer.readableBytes();
    if (bytes > 0) {
      buffer.skipBytes(bytes);
      onSurplus.accept(bytes);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    TransferCodings.check(message);
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
