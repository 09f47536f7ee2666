package io.mothrill.wire.operator;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Renders metrics in the text format that scrapers read. */
final class MetricsPage {

  private static final String PREFIX = "mothrill_";

  private MetricsPage() {}

  static String render(MetricRegistry metrics) {
    Stream<String> counters =
        metrics.getCounters().entrySet().stream()
            .map(entry -> line(entry.getKey(), entry.getValue().getCount()));
    Stream<String> gauges =
        metrics.getGauges().entrySet().stream()
            .filter(entry -> entry.getValue().getValue() instanceof Number)
            .map(entry -> line(entry.getKey(), entry.getValue().getValue()));
    Stream<String> histograms =
        metrics.getHistograms().entrySet().stream()
            .flatMap(
                entry ->
                    summary(
                        entry.getKey(),
                        entry.getValue().getSnapshot(),
                        entry.getValue().getCount()));
    return Stream.of(counters, gauges, histograms)
        .flatMap(lines -> lines)
        .collect(Collectors.joining());
  }

  private static Stream<String> summary(String name, Snapshot snapshot, long count) {
    return Stream.of(
        line(name + "_p50", snapshot.getMedian()),
        line(name + "_p99", snapshot.get99thPercentile()),
        line(name + "_count", count));
  }

  private static String line(String name, Object value) {
    String clean = name.replaceAll("([a-z])([A-Z])", "$1_$2").replaceAll("[^A-Za-z0-9_]", "_");
    return PREFIX + clean.toLowerCase(Locale.ROOT) + " " + value + "\n";
  }
}
