package io.mothrill.wire.forward;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>Only complete events are relayed to the caller, so that a stream can be resumed after the last
 * one even if its upstream breaks off in the middle of the next. A line ends with CR, LF or both.
 */
final class EventSplitter {

  private static final String ID_FIELD = "id";
  private static final String RETRY_FIELD = "retry";

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;
  private boolean afterCr;
  private boolean linesEndWithCrLf;

  /** True if an empty line has ended with CR and its LF is expected. */
  private boolean awaitsLf;

  /**
   * A complete event.
   *
   * @param bytes the bytes of the event, including the empty line that ends it
   * @param id the event id; absent for events without one or with one that is no number
   * @param hasContent whether it holds more than comments and retry times
   */
  record Event(byte[] bytes, OptionalLong id, boolean hasContent) {}

  /** Consumes bytes and returns the events that they complete. */
  List<Event> split(ByteBuf content) {
    List<Event> events = new ArrayList<>(2);
    while (content.isReadable()) {
      byte next = content.readByte();
      if (awaitsLf && next != '\n') {
        events.add(takeEvent());
      }
      partial.write(next);
      if (endsEvent(next, isLfNext(content))) {
        events.add(takeEvent());
      }
    }
    return events;
  }

  private static boolean isLfNext(ByteBuf content) {
    return content.isReadable() && content.getByte(content.readerIndex()) == '\n';
  }

  /** An event ends at the CR of its empty line, unless an LF is there or lines end with both. */
  private boolean endsEvent(byte next, boolean lfIsNext) {
    boolean completesCrLf = afterCr && next == '\n';
    if (afterCr || next == '\n') {
      linesEndWithCrLf = completesCrLf;
    }
    afterCr = next == '\r';
    if (completesCrLf) {
      return awaitsLf || partial.size() == 1;
    }
    boolean lineEnds = afterCr || next == '\n';
    boolean emptyLineEnds = lineEnds && lineIsEmpty;
    lineIsEmpty = lineEnds;
    awaitsLf = emptyLineEnds && afterCr && (linesEndWithCrLf || lfIsNext);
    return emptyLineEnds && !awaitsLf;
  }

  /** Returns the length of the incomplete event. */
  int partialBytes() {
    return partial.size();
  }

  /** Checks whether bytes of an incomplete event remain. */
  boolean hasPartial() {
    return partial.size() > 0;
  }

  private Event takeEvent() {
    byte[] bytes = partial.toByteArray();
    partial.reset();
    awaitsLf = false;
    List<String> lines = new String(bytes, StandardCharsets.UTF_8).lines().toList();
    return new Event(bytes, idOf(lines), lines.stream().anyMatch(EventSplitter::isContent));
  }

  /** The last id counts, as for the caller. */
  private static OptionalLong idOf(List<String> lines) {
    return lines.stream()
        .filter(line -> isField(line, ID_FIELD))
        .reduce((first, second) -> second)
        .map(line -> line.substring(Math.min(line.length(), ID_FIELD.length() + 1)).strip())
        .filter(EventSplitter::isNumber)
        .map(text -> OptionalLong.of(Long.parseLong(text)))
        .orElse(OptionalLong.empty());
  }

  private static boolean isField(String line, String name) {
    return line.equals(name) || line.startsWith(name + ":");
  }

  private static boolean isContent(String line) {
    return !line.isEmpty() && !line.startsWith(":") && !isField(line, RETRY_FIELD);
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() < 19
        && text.chars().allMatch(next -> next >= '0' && next <= '9');
  }
}
