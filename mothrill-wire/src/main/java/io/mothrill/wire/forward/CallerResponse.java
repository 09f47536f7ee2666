package io.mothrill.wire.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The way back to one caller, for one request; called on its connection's event loop. */
interface CallerResponse {

  /** Sends a whole answer. */
  void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a stream. */
  void startStream(HttpResponseStatus status, HttpHeaders headers);

  /** Sends a part of a stream, which goes out with the next flush. */
  void sendChunk(byte[] bytes);

  /** Lets everything out that was sent. */
  void flush();

  /** Ends a stream as complete. */
  void endStream();

  /** Breaks the answer off, so that the caller sees that it is not complete. */
  void abort();

  /** Says whether the caller reads fast enough. */
  boolean isWritable();
}
