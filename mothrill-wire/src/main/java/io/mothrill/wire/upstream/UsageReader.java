package io.mothrill.wire.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.upstream.Usage;
import io.mothrill.wire.json.Json;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Determines the token usage of a response.
 *
 * <p>In a stream, every event with a choice counts as one output token unless the event reports the
 * usage. In a plain response, the usage is read from the complete body.
 */
final class UsageReader {

  private static final String DATA = "data:";
  private static final int MAX_PLAIN_BYTES = 8 * 1024 * 1024;

  /** Longer than any event that reports usage; the rest of a longer line is dropped. */
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final boolean streamed;
  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Usage usage = Usage.NONE;
  private boolean doneSeen;

  UsageReader(boolean streamed) {
    this.streamed = streamed;
  }

  Usage usage() {
    return usage;
  }

  /** Checks whether a stream ended with its final event, to detect truncated streams. */
  boolean isComplete() {
    return !streamed || doneSeen;
  }

  void read(byte[] bytes) {
    if (!streamed) {
      if (pending.size() + bytes.length <= MAX_PLAIN_BYTES) {
        pending.writeBytes(bytes);
      }
      return;
    }
    for (byte value : bytes) {
      if (value == '\n') {
        readLine(pending.toString(StandardCharsets.UTF_8).trim());
        pending.reset();
      } else if (pending.size() < MAX_LINE_BYTES) {
        pending.write(value);
      }
    }
  }

  /** Returns how many bytes are held until their line or body ends. */
  int heldBytes() {
    return pending.size();
  }

  void finish() {
    if (!streamed && pending.size() > 0) {
      readEvent(pending.toByteArray());
    }
  }

  private void readLine(String line) {
    if (!line.startsWith(DATA)) {
      return;
    }
    String data = line.substring(DATA.length()).trim();
    if (data.equals("[DONE]")) {
      doneSeen = true;
    } else {
      readEvent(data.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void readEvent(byte[] json) {
    JsonNode event;
    try {
      event = Json.read(json);
    } catch (InvalidInputException ex) {
      return;
    }
    JsonNode reported = event.path("usage");
    if (reported.isObject()) {
      usage =
          new Usage(
              reported.path("prompt_tokens").asLong(), reported.path("completion_tokens").asLong());
    } else if (streamed && event.path("choices").size() > 0) {
      usage = new Usage(usage.promptTokens(), usage.outputTokens() + 1);
    }
  }
}
