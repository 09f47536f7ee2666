package io.mothrill.wire.relay;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** The frames in which bytes of an upstream are relayed; bytes to an upstream have none. */
final class RelayFrames {

  private static final int LENGTH_BYTES = 4;

  /** More than is read from an upstream at once. */
  private static final int MAX_FRAME_BYTES = 1 << 20;

  private RelayFrames() {}

  static void addEncoder(ChannelPipeline pipeline) {
    pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
  }

  static void addDecoder(ChannelPipeline pipeline) {
    pipeline
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new RelayEndHandler());
  }
}
