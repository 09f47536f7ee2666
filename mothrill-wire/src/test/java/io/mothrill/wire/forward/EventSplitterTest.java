package io.mothrill.wire.forward;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

  private final EventSplitter splitter = new EventSplitter();

  private List<EventSplitter.Event> split(String text) {
    return splitter.split(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  @Test
  void returnsCompleteEventsOnly() {
    assertThat(split("id: 4\nda")).isEmpty();
    assertThat(splitter.hasPartial()).isTrue();

    List<EventSplitter.Event> events = split("ta: x\n\nid: 5\ndata: y\n\nid:");

    assertThat(events.stream().map(EventSplitter.Event::id))
        .containsExactly(OptionalLong.of(4), OptionalLong.of(5));
    assertThat(new String(events.get(0).bytes(), StandardCharsets.UTF_8))
        .isEqualTo("id: 4\ndata: x\n\n");
    assertThat(splitter.hasPartial()).isTrue();
  }

  @Test
  void acceptsBothLineEndings() {
    assertThat(split("id: 1\r\ndata: x\r\n\r\n")).hasSize(1);
    assertThat(splitter.hasPartial()).isFalse();
  }

  @Test
  void returnsEventsWithoutId() {
    assertThat(split("data: x\n\n").get(0).id()).isEqualTo(OptionalLong.empty());
  }
}
