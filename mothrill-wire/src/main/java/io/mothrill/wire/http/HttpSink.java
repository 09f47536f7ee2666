package io.mothrill.wire.http;

import io.netty.handler.codec.http.HttpResponse;

/** Gets the answer to one call of the client, on the connection's event loop. */
public interface HttpSink {

  /**
   * The answer begins.
   *
   * @param head status and headers
   * @return false to give the call up, for example because the answer is another call's
   */
  boolean onHead(HttpResponse head);

  /**
   * A part of the body came.
   *
   * @param bytes the part
   */
  void onBody(byte[] bytes);

  /** The answer is whole. */
  void onEnd();

  /**
   * The answer will not come or will not become whole.
   *
   * @param sent false when no byte of the call was written
   * @param detail what happened
   */
  void onFailure(boolean sent, String detail);
}
