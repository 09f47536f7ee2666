package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.mothrill.core.forward.buffer.SourcePause;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.nio.channels.ClosedChannelException;

/**
 * Writes one request to an upstream; confined to the event loop of its connection.
 *
 * <p>Netty copies a body into direct memory as a whole when it is written. A long body is therefore
 * written in slices, each once the upstream has read enough of those before.
 */
final class RequestWriter {

  /** A body up to this length is written as a whole. */
  private static final int SLICE_BYTES = 64 << 10;

  private final ChannelHandlerContext context;
  private final FullHttpRequest request;
  private final ConnectionBuffer unsent;
  private final SourcePause pause;
  private final Runnable onProgress;
  private final Promise<Void> written;
  private ByteBuf rest;
  private boolean writing;
  private boolean cancelled;

  /**
   * Creates a writer that has not written anything.
   *
   * @param context writes to the connection
   * @param request the request; released by the writer
   * @param unsent counts what is written but not sent
   * @param pause runs while the upstream does not read what was written
   * @param onProgress called when a part of the request, but not all of it, has been sent
   */
  RequestWriter(
      ChannelHandlerContext context,
      FullHttpRequest request,
      ConnectionBuffer unsent,
      SourcePause pause,
      Runnable onProgress) {
    this.context = context;
    this.request = request;
    this.unsent = unsent;
    this.pause = pause;
    this.onProgress = onProgress;
    this.written = context.executor().newPromise();
    this.rest = request.content();
  }

  void start() {
    if (rest.readableBytes() <= SLICE_BYTES) {
      int bytes = rest.readableBytes();
      rest = null;
      track(context.writeAndFlush(request), bytes, true);
    } else {
      context.write(
          new DefaultHttpRequest(
              request.protocolVersion(), request.method(), request.uri(), request.headers()));
      continueWriting();
    }
  }

  /** Writes as much as the connection accepts. */
  void continueWriting() {
    if (writing) {
      return;
    }
    writing = true;
    while (rest != null && context.channel().isWritable() && !unsent.isFull()) {
      writeSlice();
    }
    writing = false;
  }

  private void writeSlice() {
    ByteBuf slice = rest.readRetainedSlice(Math.min(SLICE_BYTES, rest.readableBytes()));
    int bytes = slice.readableBytes();
    boolean last = !rest.isReadable();
    if (last) {
      releaseRest();
    }
    track(
        context.writeAndFlush(
            last ? new DefaultLastHttpContent(slice) : new DefaultHttpContent(slice)),
        bytes,
        last);
  }

  private void track(ChannelFuture written, int bytes, boolean last) {
    unsent.add(bytes);
    if (!written.isDone()) {
      pause.start();
    }
    written.addListener(sent -> onSent(bytes, last, sent.isSuccess()));
  }

  private void onSent(int bytes, boolean last, boolean success) {
    unsent.remove(bytes);
    if (last || !success) {
      pause.end();
      releaseRest();
      end(success);
      return;
    }
    if (pause.isActive()) {
      pause.restart();
      onProgress.run();
    }
    continueWriting();
  }

  private void end(boolean success) {
    if (success) {
      written.trySuccess(null);
    } else {
      written.tryFailure(new ClosedChannelException());
    }
  }

  /** Returns a future that completes once the whole request has been sent, or can't be. */
  Future<Void> written() {
    return written;
  }

  /** Stops writing and releases what was not written. */
  void cancel() {
    if (!cancelled) {
      cancelled = true;
      pause.end();
      releaseRest();
      end(false);
    }
  }

  private void releaseRest() {
    if (rest != null) {
      rest.release();
      rest = null;
    }
  }
}
