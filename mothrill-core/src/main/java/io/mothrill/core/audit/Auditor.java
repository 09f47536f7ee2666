package io.mothrill.core.audit;

import io.mothrill.core.audit.AuditReport.Sums;
import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.AllotmentRow;
import io.mothrill.core.budget.BudgetTables;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.TableService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Audits the budget rows of the platform's table.
 *
 * <p>For each budget: {@code sum(ledger) = sum(billed) <= sum(granted) = allotted <= paid}, {@code
 * paid} equals the sum of its top-ups, and no request is billed by two runs or twice by one run.
 *
 * <pre>{@code
 * new Auditor(table).audit().thenAccept(report -> report.findings().forEach(this::print));
 * }</pre>
 */
public final class Auditor {

  private static final int SCAN_ROWS = 1_000;

  private final TableService table;

  /**
   * Creates the auditor.
   *
   * @param table the platform's table
   */
  public Auditor(TableService table) {
    this.table = table;
  }

  /**
   * Reads all budget tables and checks them against each other.
   *
   * @return the report; fails when the platform does not respond
   */
  public CompletableFuture<AuditReport> audit() {
    CompletableFuture<List<Row>> budgets = scan(BudgetTables.BUDGETS);
    CompletableFuture<List<Row>> topUps = scan(BudgetTables.TOP_UPS);
    CompletableFuture<List<Row>> allotments = scan(BudgetTables.ALLOTMENTS);
    CompletableFuture<List<Row>> ledger = scan(BudgetTables.LEDGER);
    CompletableFuture<List<Row>> lateBills = scan(BudgetTables.LATE_BILLS);
    return CompletableFuture.allOf(budgets, topUps, allotments, ledger, lateBills)
        .thenApply(
            ignored ->
                new LedgerCheck(
                        budgets.join(),
                        topUps.join(),
                        allotments.join(),
                        ledger.join(),
                        lateBills.join())
                    .check());
  }

  private CompletableFuture<List<Row>> scan(String name) {
    return scanFrom(name, "", new ArrayList<>());
  }

  private CompletableFuture<List<Row>> scanFrom(String name, String afterKey, List<Row> found) {
    return table
        .scan(name, "", afterKey, SCAN_ROWS)
        .thenCompose(
            rows -> {
              found.addAll(rows);
              return rows.size() < SCAN_ROWS
                  ? CompletableFuture.completedFuture(found)
                  : scanFrom(name, rows.get(rows.size() - 1).key().key(), found);
            });
  }

  /** Checks the rows of all budget tables and collects the findings. */
  private static final class LedgerCheck {
    private final List<Row> budgets;
    private final List<Row> topUps;
    private final List<Row> allotments;
    private final List<Row> ledger;
    private final List<Row> lateBills;
    private final List<String> findings = new ArrayList<>();
    private final Map<String, Long> billedByAllotment = new HashMap<>();
    private final Map<String, Long> batchesByAllotment = new HashMap<>();
    private final Map<String, String> billedParts = new HashMap<>();
    private final Map<String, String> runByKey = new HashMap<>();

    LedgerCheck(
        List<Row> budgets,
        List<Row> topUps,
        List<Row> allotments,
        List<Row> ledger,
        List<Row> lateBills) {
      this.budgets = budgets;
      this.topUps = topUps;
      this.allotments = allotments;
      this.ledger = ledger;
      this.lateBills = lateBills;
    }

    AuditReport check() {
      ledger.forEach(this::checkBatch);
      allotments.forEach(this::checkAllotment);
      lateBills.forEach(row -> findings.add("late bill, not billed: " + row.key().key()));
      Map<String, Sums> sums = new TreeMap<>();
      budgets.forEach(row -> sums.put(row.key().key(), checkBudget(row)));
      return new AuditReport(sums, Set.copyOf(runByKey.keySet()), List.copyOf(findings));
    }

    private void checkBatch(Row row) {
      String key = row.key().key();
      String allotment = key.substring(0, key.lastIndexOf('/'));
      List<LedgerEntry> entries = LedgerEntry.parse(row.cells().text("entries"));
      long sum = entries.stream().mapToLong(LedgerEntry::tokens).sum();
      if (sum != row.cells().number("tokens")) {
        findings.add("ledger batch " + key + " does not add up");
      }
      billedByAllotment.merge(allotment, sum, Long::sum);
      batchesByAllotment.merge(allotment, 1L, Long::sum);
      String batch = key + " posted by " + row.cells().text("poster");
      entries.forEach(entry -> checkEntry(allotment, batch, entry));
    }

    private void checkEntry(String allotment, String batch, LedgerEntry entry) {
      String run = runByKey.putIfAbsent(entry.key(), entry.requestId());
      if (run != null && !run.equals(entry.requestId())) {
        findings.add(
            "double bill: " + entry.key() + " by runs " + run + " and " + entry.requestId());
      }
      String part = entry.requestId() + "@" + allotment;
      String earlier = billedParts.putIfAbsent(part, batch);
      if (earlier != null) {
        findings.add(
            "double bill: run " + entry.requestId() + " in " + earlier + " and in " + batch);
      }
    }

    private void checkAllotment(Row row) {
      String id = row.key().key();
      AllotmentRow allotment = AllotmentRow.of(row);
      long billedTokens = billedByAllotment.getOrDefault(id, 0L);
      if (billedTokens != allotment.billedTokens()) {
        findings.add(
            "allotment "
                + id
                + " has billed "
                + allotment.billedTokens()
                + ", but its ledger adds up to "
                + billedTokens);
      }
      if (batchesByAllotment.getOrDefault(id, 0L) != allotment.ledgerSeq()) {
        findings.add("ledger of " + id + " has missing or surplus batches");
      }
    }

    private Sums checkBudget(Row row) {
      String name = row.key().key();
      long paidTokens = row.cells().number("paid");
      long allottedTokens = row.cells().number("allotted");
      long toppedUpTokens =
          topUps.stream()
              .filter(topUp -> topUp.key().key().startsWith(name + "/"))
              .mapToLong(BudgetTables::topUpTokens)
              .sum();
      if (paidTokens != toppedUpTokens) {
        findings.add("budget " + name + " paid " + paidTokens + ", top-ups " + toppedUpTokens);
      }
      List<AllotmentRow> own =
          allotments.stream()
              .filter(entry -> AllotmentId.parse(entry.key().key()).budget().equals(name))
              .map(AllotmentRow::of)
              .toList();
      long heldTokens = own.stream().mapToLong(LedgerCheck::heldTokens).sum();
      if (heldTokens != allottedTokens) {
        findings.add("budget " + name + " allotted " + allottedTokens + ", held " + heldTokens);
      }
      if (allottedTokens > paidTokens) {
        findings.add("overspend: budget " + name + " allotted more than was paid");
      }
      long billedTokens = own.stream().mapToLong(AllotmentRow::billedTokens).sum();
      return new Sums(paidTokens, allottedTokens, billedTokens);
    }

    private static long heldTokens(AllotmentRow allotment) {
      return allotment.closed() ? allotment.billedTokens() : allotment.grantedTokens();
    }
  }
}
