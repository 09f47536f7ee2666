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
 * one even if its upstream breaks off in the middle of the next.
 */
final class EventSplitter {

  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
  private boolean lineIsEmpty = true;

  /**
   * A complete event.
   *
   * @param bytes the bytes of the event, including the empty line that ends it
   * @param id the event id; absent for events without one
   */
  record Event(byte[] bytes, OptionalLong id) {}

  /** Consumes bytes and returns the events that they complete. */
  List<Event> split(ByteBuf content) {
    List<Event> events = new ArrayList<>(2);
    while (content.isReadable()) {
      byte next = content.readByte();
      partial.write(next);
      if (next == '\n') {
        if (lineIsEmpty) {
          events.add(takeEvent());
        }
        lineIsEmpty = true;
      } else if (next != '\r') {
        lineIsEmpty = false;
      }
    }
    return events;
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
    return new Event(bytes, idOf(bytes));
  }

  private static OptionalLong idOf(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .map(line -> line.substring(ID_FIELD.length()).strip())
        .filter(EventSplitter::isNumber)
        .mapToLong(Long::parseLong)
        .findFirst();
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty() && text.length() < 19 && text.chars().allMatch(Character::isDigit);
  }
}
