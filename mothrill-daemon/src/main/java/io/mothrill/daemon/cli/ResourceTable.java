package io.mothrill.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Renders resources as a text table. */
final class ResourceTable {

  private static final String GAP = "  ";

  private ResourceTable() {}

  static String render(List<JsonNode> items) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("KIND", "NAME", "VERSION", "SPEC", "STATUS"));
    items.forEach(item -> rows.add(row(item)));
    List<Integer> widths =
        IntStream.range(0, rows.get(0).size())
            .mapToObj(
                column -> rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0))
            .toList();
    return rows.stream().map(row -> line(row, widths)).collect(Collectors.joining("\n", "", "\n"));
  }

  private static List<String> row(JsonNode item) {
    return List.of(
        item.path("kind").asText(),
        item.path("metadata").path("name").asText(),
        item.path("metadata").path("resourceVersion").asText(),
        summary(item.path("spec")),
        summary(item.path("status")));
  }

  /** Renders scalar values as text, and lists by their length. */
  private static String summary(JsonNode node) {
    List<String> cells = new ArrayList<>();
    node.fields()
        .forEachRemaining(
            field -> {
              JsonNode value = field.getValue();
              String text = value.isArray() ? "[" + value.size() + "]" : value.asText();
              cells.add(field.getKey() + "=" + text);
            });
    return String.join(" ", cells);
  }

  private static String line(List<String> row, List<Integer> widths) {
    return IntStream.range(0, row.size())
        .mapToObj(column -> String.format("%-" + widths.get(column) + "s", row.get(column)))
        .collect(Collectors.joining(GAP))
        .stripTrailing();
  }
}
