package io.mothrill.wire.http;

import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to a call, on the event loop of the connection. */
public interface HttpSink {

  /**
   * Called when the response starts.
   *
   * @param head the status and headers
   * @return false to abort the call, for example because the response belongs to another call
   */
  boolean onHead(HttpResponse head);

  /**
   * Called for each part of the body.
   *
   * @param bytes the part
   */
  void onBody(byte[] bytes);

  /**
   * Called when the response is complete. The connection is not used again when this throws, for
   * example because the response belongs to another call.
   */
  void onEnd();

  /**
   * Called when the response is missing or incomplete.
   *
   * @param sent false when no byte of the call was written
   * @param detail what happened
   */
  void onFailure(boolean sent, String detail);
}
