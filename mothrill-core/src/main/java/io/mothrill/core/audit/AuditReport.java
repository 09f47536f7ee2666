package io.mothrill.core.audit;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What an audit found.
 *
 * @param budgets the sums of each budget
 * @param billedKeys the keys of the billed requests, as {@code team/key}
 * @param findings everything that is wrong; empty when the books are right
 */
public record AuditReport(
    Map<String, Sums> budgets, Set<String> billedKeys, List<String> findings) {

  /**
   * The sums of one budget.
   *
   * @param paidTokens the sum of its top-ups
   * @param allottedTokens what is granted, or billed by closed allotments
   * @param billedTokens the sum of its ledger
   */
  public record Sums(long paidTokens, long allottedTokens, long billedTokens) {}

  /**
   * Counts the billed requests.
   *
   * @return requests
   */
  public long billedRequestCount() {
    return billedKeys.size();
  }

  /**
   * Says whether the books are right.
   *
   * @return true when there is no finding
   */
  public boolean isClean() {
    return findings.isEmpty();
  }

  /**
   * Adds up the bills of all budgets.
   *
   * @return tokens
   */
  public long billedTokens() {
    return budgets.values().stream().mapToLong(Sums::billedTokens).sum();
  }
}
