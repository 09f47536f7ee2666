package io.mothrill.wire.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits the bytes of a peer into messages; fails at the length of one that is too long, as it
 * would be held until it is complete.
 */
final class PeerFrameDecoder extends ProtobufVarint32FrameDecoder {

  /** Several times a range with 4 MB of responses, or the longest table. */
  static final int MAX_MESSAGE_BYTES = 64 << 20;

  private static final int MAX_LENGTH_BYTES = 5;
  private static final int GROUP_BITS = 7;
  private static final int GROUP_MASK = 0x7f;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (lengthOf(in) > MAX_MESSAGE_BYTES) {
      in.skipBytes(in.readableBytes());
      throw new TooLongFrameException("message is longer than " + MAX_MESSAGE_BYTES + " bytes");
    }
    super.decode(ctx, in, out);
  }

  /** Returns the length as far as it has arrived, which a complete one is not below. */
  private static long lengthOf(ByteBuf in) {
    int available = Math.min(MAX_LENGTH_BYTES, in.readableBytes());
    long length = 0;
    for (int index = 0; index < available; index++) {
      byte group = in.getByte(in.readerIndex() + index);
      length |= (long) (group & GROUP_MASK) << (GROUP_BITS * index);
      if (group >= 0) {
        break;
      }
    }
    return length;
  }
}
