package io.mothrill.wire.forward;

import static com.google.common.truth.Truth.assertThat;

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
    skipped.onContent(4 << 20);
    assertThat(skipped.isExceeded(START_MS)).isFalse();

    skipped.onContent(1);
    assertThat(skipped.isExceeded(START_MS)).isTrue();
  }

  // A response that arrives byte by byte would hold the request until its deadline.
  @Test
  void responseThatTakesLongIsNotSkipped() {
    skipped.onHead(START_MS);
    skipped.onContent(1);
    assertThat(skipped.isExceeded(START_MS + 2_000)).isFalse();
    assertThat(skipped.isExceeded(START_MS + 2_001)).isTrue();
  }

  @Test
  void eachRequestIsCountedByItself() {
    skipped.onHead(START_MS);
    skipped.onContent(4 << 20);
    skipped.onRequest();
    skipped.onHead(START_MS + 10_000);
    skipped.onContent(1);

    assertThat(skipped.isExceeded(START_MS + 10_000)).isFalse();
  }
}
