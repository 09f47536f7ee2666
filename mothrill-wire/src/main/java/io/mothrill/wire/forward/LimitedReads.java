package io.mothrill.wire.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/** Allocates the buffers into which a connection reads as usual, but no longer than allowed. */
final class LimitedReads implements RecvByteBufAllocator {

  /** The default of Netty for connections, which only a default allocator gets by itself. */
  private static final int MAX_READS_PER_TURN = 16;

  private final RecvByteBufAllocator adaptive =
      new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS_PER_TURN);
  private final IntSupplier maxBytes;

  LimitedReads(IntSupplier maxBytes) {
    this.maxBytes = maxBytes;
  }

  @Override
  public Handle newHandle() {
    return new DelegatingHandle(adaptive.newHandle()) {
      @Override
      public ByteBuf allocate(ByteBufAllocator allocator) {
        return allocator.ioBuffer(Math.min(guess(), maxBytes.getAsInt()));
      }
    };
  }
}
