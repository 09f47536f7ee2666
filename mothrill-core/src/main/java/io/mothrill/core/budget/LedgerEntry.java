package io.mothrill.core.budget;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One line of a ledger batch: the tokens that one request owes to the allotment of the batch.
 *
 * @param requestId the id of the run that is billed
 * @param key the request key, as {@code team/key}
 * @param tokens the number of tokens of this allotment that were used
 */
public record LedgerEntry(String requestId, String key, long tokens) {

  private static final String TAB = "\t";

  /**
   * Formats a batch.
   *
   * @param entries the lines
   * @return the text of one cell
   */
  static String format(List<LedgerEntry> entries) {
    return entries.stream()
        .map(entry -> entry.requestId + TAB + entry.key + TAB + entry.tokens)
        .collect(Collectors.joining("\n"));
  }

  /**
   * Parses a batch.
   *
   * @param text the output of {@link #format}
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
