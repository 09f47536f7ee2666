package io.mothrill.wire.forward;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import com.google.common.truth.Correspondence;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against request smuggling: two programs see the end of a request in different places, and
 * what one takes for its body is the next request for the other, which no caller has sent. Such
 * requests are rejected.
 */
class StrictRequestDecoderTest {

  private static final Correspondence<Object, Boolean> IS_FAILURE =
      Correspondence.transforming(
          message -> ((HttpObject) message).decoderResult().isFailure(), "is a failure");

  private final EmbeddedChannel channel =
      new EmbeddedChannel(new StrictRequestDecoder(4_096, 4_096));

  private boolean isAccepted(String... headers) {
    String head = "POST /a HTTP/1.1\r\nHost: h\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
    channel.writeInbound(Unpooled.copiedBuffer(head, US_ASCII));
    HttpRequest request = channel.readInbound();
    return request.decoderResult().isSuccess();
  }

  @Test
  void rejectsLengthWithChunkedEncoding() {
    assertThat(isAccepted("Content-Length: 3", "Transfer-Encoding: chunked")).isFalse();
  }

  @Test
  void rejectsDuplicateLength() {
    assertThat(isAccepted("Content-Length: 3", "Content-Length: 4")).isFalse();
  }

  @Test
  void rejectsUnknownTransferCoding() {
    assertThat(isAccepted("Transfer-Encoding: xchunked")).isFalse();
  }

  @Test
  void rejectsDuplicateChunkedEncoding() {
    assertThat(isAccepted("Transfer-Encoding: chunked", "Transfer-Encoding: chunked")).isFalse();
  }

  @Test
  void rejectsSpaceBeforeColon() {
    assertThat(isAccepted("Content-Length : 3")).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X A: b",
        "X\tA: b",
        "XA b",
        "XA",
        "X-A : b",
        ": b",
        "X\u0001A: b",
        "X(A): b",
        "X-A: b\rc",
        "X-A: \u0001",
        "X-A: \u007f",
        "Content-Length: +3",
        "Content-Length: 3, 3"
      })
  void rejectsInvalidFieldLine(String line) {
    assertThat(isAccepted(line)).isFalse();
  }

  @Test
  void acceptsContentLength() {
    assertThat(isAccepted("Content-Length: 0")).isTrue();
  }

  @Test
  void acceptsChunkedEncoding() {
    assertThat(isAccepted("Transfer-Encoding: chunked")).isTrue();
  }

  // A caller sends bytes without end that are no request or no part of a body.
  @ParameterizedTest
  @CsvSource({
    "GET /, a",
    "GET / HTTP/1.1~X:, a",
    "GET / HTTP/1.1~, X: 1~",
    "POST / HTTP/1.1~Transfer-Encoding: chunked~~1;, x",
    "POST / HTTP/1.1~Transfer-Encoding: chunked~~0~, X: 1~"
  })
  void rejectsBytesWithoutEnd(String beginning, String repeated) {
    String bytes = beginning + repeated.repeat((16 << 10) / repeated.length());

    channel.writeInbound(Unpooled.copiedBuffer(bytes.replace("~", "\r\n"), US_ASCII));

    assertThat(channel.inboundMessages()).comparingElementsUsing(IS_FAILURE).contains(true);
  }
}
