package io.mothrill.wire.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class UsageReaderTest {

  private static final int MAX_HELD_BYTES = 2 << 20;

  private final UsageReader reader = new UsageReader(true);

  private void read(String text) {
    reader.read(text.getBytes(StandardCharsets.UTF_8));
  }

  // Guards against an engine that sends a line without end, which would fill the memory.
  @Test
  void lineWithoutEndIsNotHeld() {
    for (int block = 0; block < 64; block++) {
      read("x".repeat(1 << 16));
    }
    assertThat(reader.heldBytes()).isLessThan(MAX_HELD_BYTES);

    read("\ndata: {\"choices\": [{}]}\n\ndata: [DONE]\n");
    assertThat(reader.usage().outputTokens()).isEqualTo(1);
    assertThat(reader.isComplete()).isTrue();
  }
}
