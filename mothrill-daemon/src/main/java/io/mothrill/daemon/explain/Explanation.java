package io.mothrill.daemon.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** The story of one request, told from the lines about it and about its instance. */
final class Explanation {

  /** Changes of the plan so short before a request may have decided about it. */
  private static final Duration RECENT = Duration.ofSeconds(5);

  private final LogBook book;

  Explanation(LogBook book) {
    this.book = book;
  }

  /** Tells all that is known of a request; empty when no line is about it. */
  List<String> of(String requestId) {
    return book.lines().stream()
        .filter(line -> line.isRequest(requestId))
        .flatMap(this::tell)
        .toList();
  }

  private Stream<String> tell(LogLine line) {
    List<String> told = new ArrayList<>();
    told.add(
        "%s at %s: %s, status %d after %d ms"
            .formatted(
                line.text("id"),
                line.source(),
                line.text("outcome"),
                line.number("status"),
                line.number("tookMs")));
    told.add(
        "  route %s, team %s, plan %d; hoped for within %d ms, first byte after %d ms"
            .formatted(
                line.text("route"),
                line.text("team"),
                line.number("plan"),
                line.number("aimMs"),
                line.number("firstMs")));
    told.add("  waited " + line.number("paidMs") + " ms for tokens");
    offers(line).forEach(offer -> told.add("  offered to " + offer));
    told.add("  cause: " + Cause.of(line.text("outcome")));
    if (!line.text("reason").isEmpty()) {
      told.add("  reason given: " + line.text("reason"));
    }
    crashes(line).forEach(told::add);
    surroundings(line).forEach(told::add);
    return told.stream();
  }

  private static Stream<String> offers(LogLine line) {
    String offers = line.text("offers");
    return offers.isEmpty() ? Stream.empty() : Stream.of(offers.split("; "));
  }

  /** What any instance has noted of upstreams that ended under the same request. */
  private Stream<String> crashes(LogLine line) {
    String fingerprint = line.text("fingerprint");
    if (fingerprint.isEmpty()) {
      return Stream.empty();
    }
    return Stream.concat(
        Stream.of("  fingerprint " + fingerprint + ", the same for each repeat"),
        book.lines().stream()
            .filter(other -> other.isAboutCrashes(fingerprint))
            .map(
                other ->
                    "  %s at %s: %s".formatted(other.at(), other.source(), other.text("message"))));
  }

  /** What its instance was going through meanwhile. */
  private Stream<String> surroundings(LogLine line) {
    Instant arrived = line.at().minusMillis(line.number("tookMs"));
    return Stream.of(
            storeState(line),
            recent(line, arrived, "plan in force"),
            recent(line, arrived, "tokens borrowed"),
            recent(line, arrived, "spending continues"),
            leaving(line))
        .flatMap(Optional::stream);
  }

  private Optional<String> storeState(LogLine line) {
    return book.before(line)
        .filter(other -> other.says("store "))
        .findFirst()
        .filter(other -> other.says("store lost"))
        .map(other -> "  meanwhile: out of reach of the store " + since(other, line));
  }

  private Optional<String> recent(LogLine line, Instant arrived, String beginning) {
    return book.before(line)
        .filter(other -> other.says(beginning))
        .findFirst()
        .filter(other -> other.at().isAfter(arrived.minus(RECENT)))
        .map(other -> "  meanwhile: " + other.text("message") + " " + since(other, line));
  }

  private Optional<String> leaving(LogLine line) {
    return book.before(line)
        .filter(other -> other.says("leaving") || other.isEvent("started"))
        .findFirst()
        .filter(other -> other.says("leaving"))
        .map(other -> "  meanwhile: the instance was leaving " + since(other, line));
  }

  private static String since(LogLine earlier, LogLine line) {
    return "(" + Duration.between(earlier.at(), line.at()).toMillis() + " ms before its end)";
  }
}
