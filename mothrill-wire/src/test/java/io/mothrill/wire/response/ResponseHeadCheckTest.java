package io.mothrill.wire.response;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.wire.response.ResponseHeadCheck.Result;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

// Guards against heads that are joined from two responses, and against sound upstreams being
// refused for heads that are unusual.
class ResponseHeadCheckTest {

  private static HttpResponse head(String reason, String... headers) {
    HttpHeaders all = new DefaultHttpHeaders();
    for (int index = 0; index < headers.length; index += 2) {
      all.add(headers[index], headers[index + 1]);
    }
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, new HttpResponseStatus(200, reason), all);
  }

  @Test
  void statusLineInReasonPhraseIsJoinedFromTwo() {
    HttpResponse head = head("OKHTTP/1.1 500 Internal Server Error");

    assertThat(ResponseHeadCheck.check(head, true)).isEqualTo(Result.JOINED);
  }

  @Test
  void statusLineInHeaderOfLaterResponseIsJoinedFromTwo() {
    HttpResponse head = head("OK", "Content-Type", "texHTTP/1.0 404 Not Found");

    assertThat(ResponseHeadCheck.check(head, false)).isEqualTo(Result.JOINED);
  }

  // An upstream breaks off in the head of its first response and begins anew.
  @Test
  void statusLineInFirstResponseWithRepeatedHeaderIsJoinedFromTwo() {
    HttpResponse head =
        head("OK", "Content-Type", "texHTTP/1.1 500 Broken", "Content-Type", "text/plain");

    assertThat(ResponseHeadCheck.check(head, true)).isEqualTo(Result.JOINED);
  }

  @Test
  void firstResponseMayQuoteStatusLine() {
    HttpResponse head = head("OK", "X-Backend", "HTTP/1.1 200 OK", "Content-Length", "4");

    assertThat(ResponseHeadCheck.check(head, true)).isEqualTo(Result.QUOTES_STATUS_LINE);
  }

  @Test
  void unusualHeadsAreSound() {
    HttpResponse head =
        head(
            "",
            "Via",
            "HTTP/1.1 proxy",
            "Upgrade",
            "HTTP/2.0",
            "Set-Cookie",
            "a=1",
            "Set-Cookie",
            "b=2",
            "Server",
            "HHTTP/1.1HTTP/1.1 20");

    assertThat(ResponseHeadCheck.check(head, false)).isEqualTo(Result.SINGLE);
  }

  @Test
  void otherProtocolIsNoResponse() {
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.valueOf("HHTTP/1.1"), HttpResponseStatus.OK);

    assertThat(ResponseHeadCheck.check(head, true)).isEqualTo(Result.JOINED);
  }
}
