package io.mothrill.wire.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

// Guards against upstreams that send responses to other requests without end.
class SkippedResponsesTest {

  private static final long START_MS = 1_000;

  private final SkippedResponses skipped = new SkippedResponses();

  @BeforeEach
  void sendRequest() {
    skipped.onRequest();
  }

  private void skip(int bytes) {
    assertThat(skipped.onContent(Unpooled.buffer(bytes).writeZero(bytes))).isFalse();
  }

  @Test
  void oneResponseForEachRequestOfTheConnectionIsSkipped() {
    skipped.onRequest();
    skipped.onHead(START_MS);
    skipped.onHead(START_MS);
    assertThat(skipped.isExceeded(START_MS)).isFalse();

    skipped.onHead(START_MS);
    assertThat(skipped.isExceeded(START_MS)).isTrue();
  }

  @Test
  void bytesOfAllSkippedResponsesAreCounted() {
    skipped.onHead(START_MS);
    skip(4 << 20);
    assertThat(skipped.isExceeded(START_MS)).isFalse();

    skip(1);
    assertThat(skipped.isExceeded(START_MS)).isTrue();
  }

  // A response that arrives byte by byte would hold the request until its deadline.
  @Test
  void responseThatTakesLongIsNotSkipped() {
    skipped.onHead(START_MS);
    skip(1);
    assertThat(skipped.isExceeded(START_MS + 2_000)).isFalse();
    assertThat(skipped.isExceeded(START_MS + 2_001)).isTrue();
  }

  @Test
  void eachRequestIsCountedByItself() {
    skipped.onHead(START_MS);
    skip(4 << 20);
    skipped.onRequest();
    skipped.onHead(START_MS + 10_000);
    skip(1);

    assertThat(skipped.isExceeded(START_MS + 10_000)).isFalse();
  }

  // The right response stands in the body of a second one that was cut off, whatever the reads.
  @Test
  void responseInsideAnotherIsFound() {
    skipped.onHead(START_MS);
    assertThat(skipped.onContent(text("body HTTP/1."))).isFalse();
    assertThat(skipped.onContent(text("1 200 OK"))).isTrue();
  }

  @Test
  void beginningOfStatusLineOfEarlierResponseIsForgotten() {
    skipped.onHead(START_MS);
    assertThat(skipped.onContent(text("body HTTP/1."))).isFalse();
    skipped.onHead(START_MS);
    assertThat(skipped.onContent(text("1 200 OK"))).isFalse();
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
