package io.mothrill.wire.forward;

import io.mothrill.wire.connection.ConnectionEnd;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Receives the response of an upstream to one request; called on the connection's event loop. */
interface UpstreamSink {

  /**
   * Called when the response head has arrived.
   *
   * @param head the response head
   * @param metadata its metadata
   */
  void onHead(HttpResponse head, ResponseMetadata metadata);

  /** Returns how many bytes of the response may be read at once. */
  int maxReadBytes();

  /** Called when the upstream has read a part of the request, but not all of it. */
  void onRequestProgress();

  /**
   * Called when bytes of the body have arrived.
   *
   * @param content the bytes, valid during the call
   */
  void onContent(ByteBuf content);

  /** Called when all data that is currently readable has been delivered. */
  void onReadComplete();

  /**
   * Called when the response is complete.
   *
   * @param connectionEnd how the connection ended; empty if it was still open
   */
  void onEnd(Optional<ConnectionEnd> connectionEnd);

  /**
   * Called when the response cannot be completed.
   *
   * @param cause the kind of failure
   * @param detail a description of the failure
   */
  void onFailure(ResponseFailure cause, String detail);
}
