package io.mothrill.wire.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.wire.json.JsonResources;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerFrameTest {

  // A program that is no instance, or a faulty one, announces a message of any length. It must be
  // refused before it fills the memory.
  @ParameterizedTest
  @ValueSource(strings = {"ffffffff07", "81808020", "ffffffff0f", "ffffffffff", "47455420"})
  void messageOfAnyLengthIsNotHeld(String beginning) {
    EmbeddedChannel channel = new EmbeddedChannel();
    new PeerCodec(new PeerEncoder(new JsonResources()), new PeerDecoder(new JsonResources()))
        .addTo(channel.pipeline());
    ByteBuf bytes = Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(beginning), new byte[1 << 10]);

    assertThrows(DecoderException.class, () -> channel.writeInbound(bytes));
    assertThat(bytes.refCnt()).isEqualTo(0);
  }
}
