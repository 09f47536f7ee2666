package io.mothrill.wire.response;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.wire.syntax.SyntaxException;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against bytes that break the grammar of HTTP being decoded as a response, however they are
// cut into reads.
class MalformedResponseTest {

  private static final String BODY = "Content-Length: 2\r\n\r\nab";

  private final ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig(), bytes -> {});
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, ISO_8859_1));
  }

  private void receiveBytewise(String text) {
    text.chars().forEach(next -> receive(Character.toString(next)));
  }

  /** Checks that the last byte is the one that fails, and that nothing was decoded before. */
  private void assertFailsAtEnd(String text) {
    decoder.expectResponse(HttpMethod.GET);
    receiveBytewise(text.substring(0, text.length() - 1));

    assertThrows(SyntaxException.class, () -> receive(text.substring(text.length() - 1)));
    assertThat((Object) channel.readInbound()).isNull();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 0",
        "HTTP/1.1 +",
        "HTTP/1.1 -",
        "HTTP/1.1 a",
        "HTTP/1.1 2\r",
        "HTTP/1.1 20 ",
        "HTTP/1.1 2000",
        "HTTP/1.1 200x",
        "HTTP/1.1 200\t",
        "HTTP/1.1  ",
        "HTTP/1.1\t",
        "HTTP/1.1\r",
        "HTTP/1.x",
        "HTTP/1.10",
        "HTTP/2",
        "h",
        " ",
        "\rH",
        "\u0000",
        "HTTP/1.1 200\n",
        "HTTP/1.1 200 O\u007f",
        "HTTP/1.1 200 O\rK",
        "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"
      })
  void statusLineFailsAtItsFirstInvalidByte(String beginning) {
    assertFailsAtEnd(beginning);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK",
        "HTTP/1.0 200",
        "HTTP/1.1 200 ",
        "HTTP/1.1 999 \tcafé ",
        "\r\n\nHTTP/1.1 200 OK"
      })
  void soundStatusLineIsDecoded(String line) {
    decoder.expectResponse(HttpMethod.GET);
    receiveBytewise(line + "\r\n" + BODY);

    HttpResponse head = channel.readInbound();
    assertThat(head.decoderResult().isSuccess()).isTrue();
    assertThat(head.headers()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        " ",
        "\t",
        ":",
        "X ",
        "X\t",
        "X\r",
        "X\n",
        "X\0",
        "Xé",
        "X(",
        "X: b\u0001",
        "X: b\u007f",
        "X: b\n",
        "X: b\r\r",
        "X: b\rc",
        "X: b\r\n\n",
        "X: b\r\n\rc",
        "X: b\r\n c\r\nX "
      })
  void fieldLineFailsAtItsFirstInvalidByte(String beginning) {
    assertFailsAtEnd("HTTP/1.1 200 OK\r\n" + beginning);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "X:\r\n", "X: \tb é\r\n \tfolded\r\n", "X:b\r\n\t\r\n"})
  void soundFieldLinesAreDecoded(String lines) {
    decoder.expectResponse(HttpMethod.GET);
    receiveBytewise("HTTP/1.1 200 OK\r\n" + lines + BODY);

    assertThat(((HttpObject) channel.readInbound()).decoderResult().isSuccess()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "+",
        "-",
        " ",
        "\r",
        ";",
        "x",
        "0x",
        "2 x",
        "2\n",
        "2\rx",
        "2;\u0001",
        "2;\n",
        "100000000",
        "2\r\nabc",
        "2\r\nab\n",
        "2\r\nab\rx",
        "2\r\nab\r\n\r",
        "2\r\nab\r\nH",
        "0\r\nX ",
        "0\r\n ",
        "0\r\nHTTP/",
        "2 ;a=b\r\nab\r\n0\r\nX: y\r\nX\t"
      })
  void chunksFailAtTheirFirstInvalidByte(String beginning) {
    decoder.expectResponse(HttpMethod.GET);
    receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    receiveBytewise(beginning.substring(0, beginning.length() - 1));

    assertThrows(SyntaxException.class, () -> receive(beginning.substring(beginning.length() - 1)));
    assertThat(channel.inboundMessages().stream().anyMatch(LastHttpContent.class::isInstance))
        .isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0\r\n\r\n",
        "2\r\nab\r\n0\r\n\r\n",
        "002;a=\"é\"\r\n\r\n\r\n00;b\r\nX: y\r\n z\r\n\r\n",
        "a\r\nHTTP/1.1 0\r\n0\r\n\r\n"
      })
  void soundChunksAreDecoded(String chunks) {
    decoder.expectResponse(HttpMethod.GET);
    receiveBytewise("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);

    assertThat(channel.inboundMessages().stream().anyMatch(LastHttpContent.class::isInstance))
        .isTrue();
  }

  // What precedes an invalid byte in the same read is decoded, as an event that is whole.
  @Test
  void chunkInFrontOfInvalidOneIsDecoded() {
    decoder.expectResponse(HttpMethod.GET);

    assertThrows(
        SyntaxException.class,
        () ->
            receive(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n+2\r\ncd\r\n"));

    assertThat(channel.inboundMessages()).hasSize(2);
  }

  // Interim responses and the next response on the connection have heads of their own.
  @Test
  void eachHeadIsChecked() {
    decoder.expectResponse(HttpMethod.GET);
    receive("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + BODY);
    assertThat(((HttpObject) channel.readInbound()).decoderResult().isSuccess()).isTrue();
    channel.releaseInbound();

    assertFailsAtEnd("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX ");
  }

  @Test
  void rejectedLineIsDescribed() {
    decoder.expectResponse(HttpMethod.GET);

    SyntaxException error =
        assertThrows(SyntaxException.class, () -> receive("HTTP/1.1 200 O\u0001K\r\n" + BODY));
    assertThat(error).hasMessageThat().isEqualTo("invalid status line: HTTP/1.1 200 O\\x01");
  }
}
