package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The response to one request of a caller; called on the event loop of its connection. */
interface CallerResponse {

  /** Sends a complete response. */
  void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a stream. */
  void startStream(HttpResponseStatus status, HttpHeaders headers);

  /** Writes a chunk of a stream, which is sent with the next flush. */
  void sendChunk(byte[] bytes);

  /** Flushes everything that was written. */
  void flush();

  /** Completes a stream. */
  void endStream();

  /** Aborts the response, so that the caller can tell that it is incomplete. */
  void abort();

  /** Checks whether the caller is still connected. */
  boolean isConnected();

  /** Checks whether the caller reads fast enough. */
  boolean isWritable();

  /** Returns the bytes that are written to the caller but not sent. */
  ConnectionBuffer unsent();
}
