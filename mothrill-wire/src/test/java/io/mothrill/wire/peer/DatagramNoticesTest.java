package io.mothrill.wire.peer;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.platform.InstanceRecord;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DatagramNoticesTest {

  private static final String HOST = "127.0.0.1";
  private static final long WAIT_S = 5;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Long> heard = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private DatagramNotices listener(int port) {
    return new DatagramNotices(
        group, HOST, port, List::of, (upstreamId, tokens) -> heard.add(tokens));
  }

  private DatagramNotices speaker(int port, int peerCount) {
    InstanceRecord peer = new InstanceRecord("konya-1", "konya-1", "konya", HOST, port, false);
    return new DatagramNotices(
        group, HOST, 0, () -> Collections.nCopies(peerCount, peer), (id, tokens) -> {});
  }

  private static int freePort() throws Exception {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  @Test
  void tellsFewPeersOfMiddlingPrompt() throws Exception {
    // GIVEN
    int port = freePort();
    final DatagramNotices listening = listener(port);
    DatagramNotices speaking = speaker(port, 5);
    // WHEN
    speaking.announce("i-1", 2_000);
    // THEN
    assertThat(heard.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(2_000);
    speaking.close();
    listening.close();
  }

  // Seventy instances serve hundreds of middling prompts a second. Were each told to all others,
  // every instance would get thousands of datagrams; only the long prompts are.
  @Test
  void tellsManyPeersOnlyOfLongPrompts() throws Exception {
    // GIVEN
    int port = freePort();
    final DatagramNotices listening = listener(port);
    DatagramNotices speaking = speaker(port, 70);
    // WHEN
    speaking.announce("i-1", 2_000);
    speaking.announce("i-1", 7_000);
    // THEN
    assertThat(heard.poll(WAIT_S, TimeUnit.SECONDS)).isEqualTo(7_000);
    speaking.close();
    listening.close();
  }
}
