package io.mothrill.wire.relay;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

// Guards against relays that pass on a broken connection of an upstream as its regular end.
class RelayHandlerTest {

  private final EmbeddedChannel instance = new EmbeddedChannel();
  private final EmbeddedChannel upstream = new EmbeddedChannel();

  RelayHandlerTest() {
    RelayAcceptor.link(instance, upstream);
  }

  private String sentToInstance() {
    StringBuilder sent = new StringBuilder();
    for (ByteBuf next = instance.readOutbound(); next != null; next = instance.readOutbound()) {
      sent.append(next.toString(StandardCharsets.ISO_8859_1));
      next.release();
    }
    return sent.toString();
  }

  private void receive(String text) {
    upstream.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  @Test
  void endOfStreamIsPassedOnAsEmptyFrame() {
    receive("r");
    upstream.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    upstream.runPendingTasks();

    assertThat(sentToInstance()).isEqualTo("\0\0\0\1r\0\0\0\0");
    assertThat(instance.isActive()).isFalse();
  }

  // The relaying instance ends and closes the connection of the upstream first.
  @Test
  void closeByTheRelayIsNotPassedOnAsEndOfStream() {
    receive("r");
    upstream.close();

    assertThat(sentToInstance()).isEqualTo("\0\0\0\1r");
    assertThat(instance.isActive()).isFalse();
  }
}
