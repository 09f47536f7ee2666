package io.mothrill.wire.connection;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReceivingSocketChannelTest {

  /** More than the sockets hold. */
  private static final byte[] LONG = new byte[16 << 20];

  private static final int OBSERVED_MS = 200;

  /** A loop that is woken up again and again makes tens of thousands of turns meanwhile. */
  private static final int MAX_TURNS = 100;

  private final AtomicInteger turns = new AtomicInteger();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1,
          NioIoHandler.newFactory(
              SelectorProvider.provider(),
              () ->
                  (selectNow, hasTasks) -> {
                    turns.incrementAndGet();
                    return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
                  }));
  private final CompletableFuture<String> ended = new CompletableFuture<>();
  private ServerSocket listener;
  private Channel channel;
  private Socket other;

  @BeforeEach
  void connect() throws Exception {
    listener = new ServerSocket();
    listener.setReceiveBufferSize(64 << 10);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    channel =
        new Bootstrap()
            .group(group)
            .channel(ReceivingSocketChannel.class)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel created) {
                    created.pipeline().addLast(new ConnectionEndHandler()).addLast(new Reader());
                  }
                })
            .connect(listener.getLocalSocketAddress())
            .sync()
            .channel();
    other = listener.accept();
    channel.config().setAutoRead(false);
  }

  @AfterEach
  void stop() throws Exception {
    other.close();
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void resetWhileWriting() throws Exception {
    final ChannelFuture written = channel.writeAndFlush(Unpooled.wrappedBuffer(LONG));
    other.getInputStream().readNBytes(1);
    other.getOutputStream().write('r');
    other.close();
    assertThat(written.await(5, TimeUnit.SECONDS)).isTrue();
    assertThat(written.isSuccess()).isFalse();
  }

  // What was received before a reset that a write has found is read; its end is not regular.
  @Test
  void receivedBytesAreReadAfterFailedWrite() throws Exception {
    resetWhileWriting();
    channel.config().setAutoRead(true);

    assertThat(ended.get(5, TimeUnit.SECONDS))
        .matches("1 byte, write failed: (Connection reset by peer|Broken pipe)");
    assertThat(channel.closeFuture().await(5, TimeUnit.SECONDS)).isTrue();
  }

  // While reading is paused, a connection whose write has failed must not keep the event loop busy.
  @Test
  void failedWriteDoesNotWakeTheEventLoopUpAgainAndAgain() throws Exception {
    resetWhileWriting();
    int turnsBefore = turns.get();

    int turnsMeanwhile =
        group
            .next()
            .schedule(() -> turns.get() - turnsBefore, OBSERVED_MS, TimeUnit.MILLISECONDS)
            .get();

    assertThat(turnsMeanwhile).isLessThan(MAX_TURNS);
  }

  private final class Reader extends ChannelInboundHandlerAdapter {
    private int received;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      received += ((ByteBuf) message).readableBytes();
      ((ByteBuf) message).release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ended.complete(received + " byte, " + cause.getMessage());
      ctx.close();
    }
  }
}
