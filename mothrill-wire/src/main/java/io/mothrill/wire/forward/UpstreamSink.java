package io.mothrill.wire.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Gets what an upstream sends for one request; called on the connection's event loop. */
interface UpstreamSink {

  /**
   * The head of the answer has come.
   *
   * @param head the head
   * @param marks what it says of itself
   */
  void onHead(HttpResponse head, ResponseMetadata marks);

  /**
   * Bytes of the body have come.
   *
   * @param content the bytes, valid during the call
   */
  void onContent(ByteBuf content);

  /** All that could be read now has been passed on. */
  void onReadComplete();

  /** The answer is whole. */
  void onEnd();

  /**
   * There will be no whole answer.
   *
   * @param cause what ended it
   * @param detail what happened
   */
  void onFailure(ResponseFailure cause, String detail);
}
