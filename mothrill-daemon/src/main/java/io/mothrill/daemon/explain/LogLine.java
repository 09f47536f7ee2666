package io.mothrill.daemon.explain;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.wire.json.Json;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * A line of an instance's log.
 *
 * @param source the name of the log file, which identifies the instance
 * @param at when it was written, by the instance's wall clock
 * @param fields the fields of the line
 */
record LogLine(String source, Instant at, JsonNode fields) {

  /** Parses a line; empty when it was not written by mothrill. */
  static Optional<LogLine> parse(String source, String text) {
    try {
      JsonNode fields = Json.read(text);
      return Optional.of(new LogLine(source, Instant.parse(fields.path("time").asText()), fields));
    } catch (InvalidInputException | DateTimeParseException ex) {
      return Optional.empty();
    }
  }

  boolean isEvent(String event) {
    return text("event").equals(event);
  }

  boolean isRequest(String id) {
    return isEvent("request") && text("id").equals(id);
  }

  /**
   * Checks whether the line is about upstreams that ended under a request with this fingerprint.
   */
  boolean isAboutCrashes(String fingerprint) {
    boolean crash =
        messageStartsWith("upstream ended under request")
            || messageStartsWith("request refused from now on")
            || messageStartsWith("request served again");
    return crash && text("message").contains("fingerprint=" + fingerprint);
  }

  boolean messageStartsWith(String prefix) {
    return text("message").startsWith(prefix);
  }

  String text(String field) {
    return fields.path(field).asText();
  }

  long number(String field) {
    return fields.path(field).asLong();
  }
}
