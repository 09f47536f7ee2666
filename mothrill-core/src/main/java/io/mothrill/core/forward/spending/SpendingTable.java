package io.mothrill.core.forward.spending;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The layout of the rows about spending in the platform's table. */
final class SpendingTable {

  static final String TABLE = "spending";

  /** Maximum rows of one read: one for each instance, and one for each team. */
  static final int MAX_ROWS = 500;

  private static final String INSTANCE_PREFIX = "instance/";
  static final String TEAM_PREFIX = "team/";
  private static final String GRANTED = "granted";

  /** More than any budget, and small enough that sums do not overflow. */
  private static final long FULLY_GRANTED_TOKENS = Long.MAX_VALUE / 4;

  private SpendingTable() {}

  static RowKey instanceKey(String instanceId) {
    return new RowKey(TABLE, INSTANCE_PREFIX + instanceId);
  }

  static RowKey teamKey(String team) {
    return new RowKey(TABLE, TEAM_PREFIX + team);
  }

  static Cells teamCells(long grantedTokens) {
    return Cells.empty().with(GRANTED, grantedTokens);
  }

  /**
   * A snapshot of all rows, each as of its latest read.
   *
   * @param byKey the rows by key
   * @param instances the instances' rows, by key
   * @param fullReadAtStoreMs when the rows of all instances were read, by the store's clock
   * @param teamsReadAtStoreMs when the rows of all teams were read
   */
  record Snapshot(
      Map<RowKey, Row> byKey,
      Map<RowKey, InstanceSpending> instances,
      long fullReadAtStoreMs,
      long teamsReadAtStoreMs) {

    static final Snapshot EMPTY = new Snapshot(Map.of(), Map.of(), 0, 0);

    static Snapshot of(List<Row> rows, long readAtStoreMs) {
      Map<RowKey, Row> byKey =
          rows.stream().collect(Collectors.toMap(Row::key, Function.identity()));
      Map<RowKey, InstanceSpending> instances =
          rows.stream()
              .filter(row -> row.key().key().startsWith(INSTANCE_PREFIX))
              .collect(Collectors.toMap(Row::key, row -> InstanceSpending.read(row.cells())));
      return new Snapshot(byKey, instances, readAtStoreMs, readAtStoreMs);
    }

    /** Returns a snapshot updated with the rows of all teams, and others. */
    Snapshot withTeams(List<Row> rows, long readAtStoreMs) {
      Snapshot newer = withUpdated(rows);
      return new Snapshot(newer.byKey(), newer.instances(), fullReadAtStoreMs, readAtStoreMs);
    }

    /** Returns a snapshot updated with newer rows; all other rows stay as they are. */
    Snapshot withUpdated(List<Row> rows) {
      Snapshot newer = of(rows, fullReadAtStoreMs);
      Map<RowKey, Row> allRows = new HashMap<>(byKey);
      allRows.putAll(newer.byKey());
      Map<RowKey, InstanceSpending> allInstances = new HashMap<>(instances);
      allInstances.putAll(newer.instances());
      return new Snapshot(allRows, allInstances, fullReadAtStoreMs, teamsReadAtStoreMs);
    }

    Row row(RowKey key) {
      return Optional.ofNullable(byKey.get(key)).orElseGet(() -> Row.absent(key));
    }

    InstanceSpending instance(RowKey key) {
      return instances.getOrDefault(key, InstanceSpending.NONE);
    }

    Stream<InstanceSpending> peers(RowKey ownKey) {
      return instances.entrySet().stream()
          .filter(entry -> !entry.getKey().equals(ownKey))
          .map(Map.Entry::getValue);
    }

    /**
     * Returns the reachable peers that hold tokens of a team: its holders first, whose tokens are
     * released early, then those that hold many.
     *
     * <p>The order is partly random: otherwise many instances that lack tokens at the same time
     * would ask the same peer and exhaust it.
     */
    List<InstanceRecord> lenders(
        RowKey ownKey, String team, Set<String> holderIds, RandomGenerator random) {
      record Lender(InstanceRecord instance, double rank) {}

      return withAddress(ownKey)
          .filter(entry -> entry.getValue().grantOf(team).heldTokens() > 0)
          .map(
              entry ->
                  new Lender(
                      record(entry.getKey(), entry.getValue()),
                      entry.getValue().grantOf(team).heldTokens() * random.nextDouble(0.5, 1)))
          .sorted(
              Comparator.comparing((Lender lender) -> holderIds.contains(lender.instance().id()))
                  .thenComparingDouble(Lender::rank)
                  .reversed())
          .map(Lender::instance)
          .toList();
    }

    /** Returns the tokens of a team's budget that peers other than its holders hold. */
    long heldOutsideHolders(RowKey ownKey, String team, Set<String> holderIds) {
      return instances.entrySet().stream()
          .filter(entry -> !entry.getKey().equals(ownKey))
          .filter(entry -> !holderIds.contains(idOf(entry.getKey())))
          .mapToLong(entry -> entry.getValue().grantOf(team).heldTokens())
          .sum();
    }

    private static String idOf(RowKey key) {
      return key.key().substring(INSTANCE_PREFIX.length());
    }

    /** Returns the reachable peers, ordered by id. */
    List<InstanceRecord> reachable(RowKey ownKey, Predicate<InstanceSpending> active) {
      return withAddress(ownKey)
          .filter(entry -> active.test(entry.getValue()))
          .map(entry -> record(entry.getKey(), entry.getValue()))
          .sorted(Comparator.comparing(InstanceRecord::id))
          .toList();
    }

    private Stream<Map.Entry<RowKey, InstanceSpending>> withAddress(RowKey ownKey) {
      return instances.entrySet().stream()
          .filter(entry -> !entry.getKey().equals(ownKey))
          .filter(entry -> !entry.getValue().host().isEmpty());
    }

    private static InstanceRecord record(RowKey key, InstanceSpending row) {
      String id = idOf(key);
      return new InstanceRecord(id, id, row.domain(), row.host(), row.peerPort(), false);
    }

    /**
     * Returns the sum of all limits of a team.
     *
     * <p>If another program has overwritten the team's row with an invalid value, all tokens count
     * as granted, so no instance gets more than it already holds. If they counted as not granted,
     * the whole budget would be granted a second time.
     */
    long grantedTokens(String team) {
      Row row = row(teamKey(team));
      boolean valid =
          row.cells().find(GRANTED).filter(Long.class::isInstance).isPresent()
              && row.cells().number(GRANTED) >= 0;
      return row.exists() && !valid ? FULLY_GRANTED_TOKENS : row.cells().number(GRANTED);
    }

    /**
     * Returns the unassigned tokens, which are granted to no instance; negative while too many are
     * granted.
     */
    long unassignedTokens(String team, long prepaidTokens) {
      return prepaidTokens - grantedTokens(team);
    }

    long spentTokens(String team) {
      return instances.values().stream().mapToLong(row -> row.grantOf(team).spentTokens()).sum();
    }
  }
}
