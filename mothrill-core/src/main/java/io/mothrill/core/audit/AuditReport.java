package io.mothrill.core.audit;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The result of an audit.
 *
 * @param budgets the totals of each budget
 * @param billedKeys the keys of the billed requests, as {@code team/key}
 * @param findings every inconsistency; empty when the ledger is consistent
 */
public record AuditReport(
    Map<String, Sums> budgets, Set<String> billedKeys, List<String> findings) {

  /**
   * The totals of one budget.
   *
   * @param paidTokens the sum of its top-ups
   * @param allottedTokens the tokens granted to open allotments plus those billed by closed ones
   * @param billedTokens the sum of its ledger
   */
  public record Sums(long paidTokens, long allottedTokens, long billedTokens) {}

  /**
   * Returns the number of billed requests.
   *
   * @return the request count
   */
  public long billedRequestCount() {
    return billedKeys.size();
  }

  /**
   * Checks whether the audit found no inconsistency.
   *
   * @return true when there is no finding
   */
  public boolean isClean() {
    return findings.isEmpty();
  }

  /**
   * Returns the sum of the bills of all budgets.
   *
   * @return billed tokens
   */
  public long billedTokens() {
    return budgets.values().stream().mapToLong(Sums::billedTokens).sum();
  }
}
