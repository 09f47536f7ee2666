package io.mothrill.wire.connection;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * A connection that a failed write does not close, so that what the other side has sent before is
 * still read. It ends once a read fails or finds the end of the stream.
 */
public final class ReceivingSocketChannel extends NioSocketChannel {

  /** Creates a connection that is not connected; called by Netty. */
  public ReceivingSocketChannel() {
    config().setAutoClose(false);
  }

  /**
   * Checks whether bytes, the end of the stream or an error wait to be read. What is found is lost,
   * so the connection must be closed then. Called on the event loop of the connection.
   */
  public boolean hasInput() {
    try {
      return javaChannel().read(ByteBuffer.allocate(1)) != 0;
    } catch (IOException ex) {
      return true;
    }
  }

  /**
   * Checks whether the connection has failed, for example as the other side has reset it. After the
   * end of the stream, reads don't tell this.
   */
  public boolean hasFailed() {
    try (Selector selector = Selector.open()) {
      // A selector reports a pending error as the end of an attempt to connect.
      javaChannel().register(selector, SelectionKey.OP_CONNECT);
      return selector.selectNow() > 0;
    } catch (IOException ex) {
      return true;
    }
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
