package io.mothrill.wire.response;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.mothrill.wire.response.ResponseHeadCheck.Result;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

// Guards against a joined head that is taken for a single one, as its second status line has a form
// that the decoder accepts and the check does not look for.
class StatusLineFormTest {

  private static final char VERTICAL_TAB = 0x0b;
  private static final String FIRST = "HTTP/1.1 200 OK\r\nVary: Accept\r\n\r\n";

  /** Decodes a head; null if the decoder fails. */
  private static HttpResponse decode(String text) {
    ResponseDecoder decoder = new ResponseDecoder(new HttpDecoderConfig(), bytes -> {});
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    decoder.expectResponse(HttpMethod.GET);
    try {
      channel.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
    } catch (DecoderException ex) {
      return null;
    }
    HttpResponse head = channel.readInbound();
    channel.finishAndReleaseAll();
    return head == null || head.decoderResult().isFailure() ? null : head;
  }

  static Stream<String> separators() {
    return Stream.of(" ", "  ", "\t", " \t", String.valueOf(VERTICAL_TAB), "\f");
  }

  @ParameterizedTest
  @MethodSource("separators")
  void headJoinedWithAnyDecodableStatusLineIsNeverSingle(String separator) {
    String second = "HTTP/1.1" + separator + "500 Broken\r\nX-Id: a-1\r\nContent-Length: 0\r\n\r\n";
    for (int cut = 1; cut < FIRST.length() - 2; cut++) {
      HttpResponse head = decode(FIRST.substring(0, cut) + second);

      Result result = head == null ? Result.JOINED : ResponseHeadCheck.check(head, false);
      assertWithMessage("cut %s", cut).that(result).isEqualTo(Result.JOINED);
    }
  }

  // The upstream breaks off inside the first header of a success and then sends a failure, which
  // has no such header.
  @Test
  void successThatQuotesFailureIsJoinedOnFirstResponse() {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.add("Content-Type", "tHTTP/1.1 500 Broken");
    headers.add("Content-Length", "0");
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);

    assertThat(ResponseHeadCheck.check(head, true)).isEqualTo(Result.JOINED);
  }
}
