package io.mothrill.daemon.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Explains the outcome of a request from the log lines about it and its instance. */
final class Explanation {

  /**
   * How long before a request's arrival an instance event may still have influenced its outcome.
   */
  private static final Duration RECENT_WINDOW = Duration.ofSeconds(5);

  private final MergedLog log;

  Explanation(MergedLog log) {
    this.log = log;
  }

  /** Returns the explanation of a request, line by line; empty when no log line is about it. */
  List<String> explain(String requestId) {
    return log.lines().stream()
        .filter(line -> line.isRequest(requestId))
        .flatMap(this::describe)
        .toList();
  }

  private Stream<String> describe(LogLine line) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "%s at %s: %s, status %d after %d ms"
            .formatted(
                line.text("id"),
                line.source(),
                line.text("outcome"),
                line.number("status"),
                line.number("tookMs")));
    lines.add(
        "  route %s, team %s, plan %d; hoped for within %d ms, first byte after %d ms"
            .formatted(
                line.text("route"),
                line.text("team"),
                line.number("plan"),
                line.number("aimMs"),
                line.number("firstMs")));
    lines.add("  waited " + line.number("paidMs") + " ms for tokens");
    offers(line).forEach(offer -> lines.add("  offered to " + offer));
    lines.add("  cause: " + OutcomeMeaning.of(line.text("outcome")));
    if (!line.text("reason").isEmpty()) {
      lines.add("  reason given: " + line.text("reason"));
    }
    crashes(line).forEach(lines::add);
    instanceContext(line).forEach(lines::add);
    return lines.stream();
  }

  private static Stream<String> offers(LogLine line) {
    String offers = line.text("offers");
    return offers.isEmpty() ? Stream.empty() : Stream.of(offers.split("; "));
  }

  /** Returns what any instance logged about upstreams that ended while serving the same request. */
  private Stream<String> crashes(LogLine line) {
    String fingerprint = line.text("fingerprint");
    if (fingerprint.isEmpty()) {
      return Stream.empty();
    }
    return Stream.concat(
        Stream.of("  fingerprint " + fingerprint + ", the same for each repeat"),
        log.lines().stream()
            .filter(other -> other.isAboutCrashes(fingerprint))
            .map(
                other ->
                    "  %s at %s: %s".formatted(other.at(), other.source(), other.text("message"))));
  }

  /** Returns the relevant events of the instance before the end of the request. */
  private Stream<String> instanceContext(LogLine line) {
    Instant arrived = line.at().minusMillis(line.number("tookMs"));
    return Stream.of(
            storeOutage(line),
            recentEvent(line, arrived, "plan in force"),
            recentEvent(line, arrived, "tokens borrowed"),
            recentEvent(line, arrived, "spending continues"),
            leaving(line))
        .flatMap(Optional::stream);
  }

  private Optional<String> storeOutage(LogLine line) {
    return log.linesUpTo(line)
        .filter(other -> other.messageStartsWith("store "))
        .findFirst()
        .filter(other -> other.messageStartsWith("store lost"))
        .map(other -> "  meanwhile: out of reach of the store " + since(other, line));
  }

  private Optional<String> recentEvent(LogLine line, Instant arrived, String prefix) {
    return log.linesUpTo(line)
        .filter(other -> other.messageStartsWith(prefix))
        .findFirst()
        .filter(other -> other.at().isAfter(arrived.minus(RECENT_WINDOW)))
        .map(other -> "  meanwhile: " + other.text("message") + " " + since(other, line));
  }

  private Optional<String> leaving(LogLine line) {
    return log.linesUpTo(line)
        .filter(other -> other.messageStartsWith("leaving") || other.isEvent("started"))
        .findFirst()
        .filter(other -> other.messageStartsWith("leaving"))
        .map(other -> "  meanwhile: the instance was leaving " + since(other, line));
  }

  private static String since(LogLine earlier, LogLine line) {
    return "(" + Duration.between(earlier.at(), line.at()).toMillis() + " ms before its end)";
  }
}
