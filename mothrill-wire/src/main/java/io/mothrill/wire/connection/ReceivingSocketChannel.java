package io.mothrill.wire.connection;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;

/**
 * A connection that a failed write does not close, so that what the other side has sent before is
 * still read. It ends once a read fails or finds the end of the stream.
 */
public final class ReceivingSocketChannel extends NioSocketChannel {

  /** Creates a connection that is not connected; called by Netty. */
  public ReceivingSocketChannel() {
    config().setAutoClose(false);
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
    try {
      super.doWrite(buffer);
    } catch (IOException ex) {
      // Netty would be woken up for writing again and again until the connection is closed.
      clearOpWrite();
      throw ex;
    }
  }
}
