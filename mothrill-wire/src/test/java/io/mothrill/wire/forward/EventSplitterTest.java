package io.mothrill.wire.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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

  // Guards against events that are held back, cut or counted wrongly at any way to end a line,
  // wherever the reads end.
  @ParameterizedTest
  @CsvSource({
    "id: 1|data: x||id: 2|data: y||, n",
    "id: 1|data: x||id: 2|data: y||, rn",
    "id: 1|data: x||id: 2|data: y||, r",
    "id: 9|data: x|id: 1||id: 9|id:2||, n",
    "id: 9|data: x|id: 1||id: 9|id:2||, rn",
    "id: 9|data: x|id: 1||id: 9|id:2||, r",
  })
  void endsEventsAtTheirLastByte(String lines, String lineEnd) {
    String text = lines.replace("|", lineEnd.replace('r', '\r').replace('n', '\n'));
    for (int cut = 1; cut <= text.length(); cut++) {
      List<EventSplitter.Event> events = new ArrayList<>(split(text.substring(0, cut)));

      assertWithMessage("read of %s", cut).that(events).hasSize(completeCount(text, cut, lineEnd));

      events.addAll(split(text.substring(cut)));
      assertThat(events.stream().map(EventSplitter.Event::id))
          .containsExactly(OptionalLong.of(1), OptionalLong.of(2));
      assertThat(bytesOf(events)).isEqualTo(text);
      assertThat(splitter.hasPartial()).isFalse();
    }
  }

  private static int completeCount(String text, int length, String lineEnd) {
    String end = lineEnd.replace('r', '\r').replace('n', '\n').repeat(2);
    return (text.substring(0, length) + "#").split(end, -1).length - 1;
  }

  private static String bytesOf(List<EventSplitter.Event> events) {
    return events.stream()
        .map(event -> new String(event.bytes(), StandardCharsets.UTF_8))
        .collect(Collectors.joining());
  }

  // Guards against ends of lines of several kinds in one stream that lose a byte or hold an event.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 1r/rn/",
        "id: 1n/rn/",
        "id: 1rnr/id: 2nn/",
        "id: 1rr/n/id: 2rr/",
        "r/n/id: 1nn/",
        "id: 1rnrn/rn/id: 2rr/",
        "id: 1nr/n/"
      })
  void acceptsMixedLineEnds(String pieces) {
    String text = pieces.replace('r', '\r').replace('n', '\n');
    List<EventSplitter.Event> events = new ArrayList<>();

    for (String piece : text.split("/", -1)) {
      events.addAll(split(piece));
    }

    assertThat(bytesOf(events)).isEqualTo(text.replace("/", ""));
    assertThat(splitter.hasPartial()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"id", "id:", "id: x", "id: -1", "id: 1234567890123456789", "id: 1\nid: x"})
  void takesIdsThatAreNoNumbersForNone(String line) {
    assertThat(split(line + "\ndata: x\n\n").get(0).id()).isEqualTo(OptionalLong.empty());
  }
}
