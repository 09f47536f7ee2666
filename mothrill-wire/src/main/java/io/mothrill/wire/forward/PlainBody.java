package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.ConnectionBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/** The collected body of a plain response; counted as held until it is taken or released. */
final class PlainBody {

  private final ConnectionBuffer collected;
  private ByteBuf bytes = Unpooled.buffer();

  PlainBody(ConnectionBuffer collected) {
    this.collected = collected;
  }

  void add(ByteBuf content) {
    collected.add(content.readableBytes());
    bytes.writeBytes(content);
  }

  /** Checks whether no more may be collected. */
  boolean isFull() {
    return collected.isFull();
  }

  /** Returns what was collected; the recipient counts and releases it from now on. */
  ByteBuf take() {
    collected.remove(collected.heldBytes());
    ByteBuf taken = bytes;
    bytes = Unpooled.EMPTY_BUFFER;
    return taken;
  }

  /** Returns a copy of what was collected and releases it. */
  byte[] takeBytes() {
    ByteBuf taken = take();
    byte[] copy = ByteBufUtil.getBytes(taken);
    taken.release();
    return copy;
  }

  void release() {
    take().release();
  }
}
