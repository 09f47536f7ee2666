package io.mothrill.core.forward.request;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class FingerprintTest {

  private static Fingerprint of(String team, String host, String target, String body) {
    return Fingerprint.of(team, "POST", host, target, bytes(body));
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static final Fingerprint USUAL = of("branch", "hall.example", "/form/7?x=1", "abc");

  @Test
  void isTheSameForTheSameRequest() {
    assertThat(of("branch", "hall.example", "/form/7?x=1", "abc")).isEqualTo(USUAL);
  }

  @Test
  void differsByEachPart() {
    assertThat(of("other", "hall.example", "/form/7?x=1", "abc")).isNotEqualTo(USUAL);
    assertThat(of("branch", "desk.example", "/form/7?x=1", "abc")).isNotEqualTo(USUAL);
    assertThat(of("branch", "hall.example", "/form/7?x=2", "abc")).isNotEqualTo(USUAL);
    assertThat(of("branch", "hall.example", "/form/7?x=1", "abd")).isNotEqualTo(USUAL);
    assertThat(Fingerprint.of("branch", "GET", "hall.example", "/form/7?x=1", bytes("abc")))
        .isNotEqualTo(USUAL);
  }

  // The boundary between two parts must count: otherwise a caller that chooses its path and body
  // freely could construct a request with the fingerprint of another team's request.
  @Test
  void boundariesBetweenPartsCount() {
    assertThat(of("branc", "hhall.example", "/form/7?x=1", "abc")).isNotEqualTo(USUAL);
    assertThat(of("branch", "hall.example", "/form/7?x=1a", "bc")).isNotEqualTo(USUAL);
  }

  @Test
  void doesNotConsumeTheBody() {
    ByteBuffer body = bytes("abc");

    var unused = Fingerprint.of("branch", "POST", "hall.example", "/form/7", body);

    assertThat(body.remaining()).isEqualTo(3);
  }

  @Test
  void isShownAsHexadecimalDigits() {
    assertThat(USUAL.toString()).matches("[0-9a-f]{32}");
  }
}
