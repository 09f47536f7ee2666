package io.mothrill.core.budget;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One line of a ledger batch: what one request owes to the batch's allotment.
 *
 * @param requestId the run that is billed
 * @param key the request key, as {@code team/key}
 * @param tokens how many tokens it used of this allotment
 */
public record LedgerEntry(String requestId, String key, long tokens) {

  private static final String TAB = "\t";

  /**
   * Writes a batch.
   *
   * @param entries the lines
   * @return text for one cell
   */
  static String format(List<LedgerEntry> entries) {
    return entries.stream()
        .map(entry -> entry.requestId + TAB + entry.key + TAB + entry.tokens)
        .collect(Collectors.joining("\n"));
  }

  /**
   * Reads a batch.
   *
   * @param text what {@link #format} wrote
   * @return the lines
   */
  public static List<LedgerEntry> parse(String text) {
    return text.lines().filter(line -> !line.isEmpty()).map(LedgerEntry::parseLine).toList();
  }

  private static LedgerEntry parseLine(String line) {
    String[] cells = line.split(TAB, -1);
    return new LedgerEntry(cells[0], cells[1], Long.parseLong(cells[2]));
  }
}
