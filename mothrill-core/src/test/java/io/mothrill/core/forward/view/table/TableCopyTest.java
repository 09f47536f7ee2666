package io.mothrill.core.forward.view.table;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against copies that lose a change, keep a removed row or go back to an older state,
// however
// late, often and by whom the reads arrive.
class TableCopyTest {

  private static final int CHANGES = 120;
  private static final int KEYS = 12;
  private static final int COPIES = 4;

  /** What the store has shown at each version. */
  private final List<Map<String, Long>> history = new ArrayList<>(List.of(Map.of()));

  private final Map<String, Long> removedAt = new HashMap<>();

  private static StoredRow row(String key, long version) {
    return new StoredRow(
        key, version, RowValue.of((key + version).getBytes(StandardCharsets.UTF_8)));
  }

  private void change(Random random) {
    Map<String, Long> next = new HashMap<>(history.get(history.size() - 1));
    String key = "k" + random.nextInt(KEYS);
    if (next.containsKey(key) && random.nextBoolean()) {
      next.remove(key);
      removedAt.put(key, (long) history.size());
    } else {
      next.put(key, (long) history.size());
      removedAt.remove(key);
    }
    history.add(next);
  }

  private long newestVersion() {
    return history.size() - 1L;
  }

  private TableRead whole() {
    return TableRead.whole(
        newestVersion(), newestVersion(), rows(history.get((int) newestVersion())));
  }

  private TableRead changesAfter(long version) {
    return TableRead.changes(
        rows(history.get((int) newestVersion())).stream()
            .filter(row -> row.version() > version)
            .toList(),
        removedAt.entrySet().stream()
            .filter(removal -> removal.getValue() > version)
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
  }

  private static List<StoredRow> rows(Map<String, Long> versions) {
    return versions.entrySet().stream()
        .map(entry -> row(entry.getKey(), entry.getValue()))
        .toList();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void copyShowsWhatTheStoreShowedAtItsVersion(long seed) {
    Random random = new Random(seed);
    List<TableCopy> copies = new ArrayList<>();
    for (int number = 0; number < COPIES; number++) {
      copies.add(new TableCopy(ViewTable.UPSTREAMS));
    }
    Map<TableCopy, List<TableRead>> reads = new HashMap<>();
    for (int number = 0; number < CHANGES; number++) {
      change(random);
      TableCopy copy = copies.get(random.nextInt(COPIES));
      final long before = copy.state().version();
      List<TableRead> own = reads.computeIfAbsent(copy, key -> new ArrayList<>());
      own.add(readFor(copy, copies, random));
      boolean isLate = random.nextInt(3) == 0;
      copy.apply(own.get(isLate ? random.nextInt(own.size()) : own.size() - 1));

      assertThat(copy.state().version()).isAtLeast(before);
      copies.forEach(this::checkExact);
    }
  }

  private TableRead readFor(TableCopy copy, List<TableCopy> copies, Random random) {
    return switch (random.nextInt(3)) {
      case 0 -> whole();
      case 1 -> changesAfter(Math.max(0, copy.state().version()));
      default ->
          copies
              .get(random.nextInt(COPIES))
              .differenceAfter(copy.state().version())
              .orElseGet(this::whole);
    };
  }

  private void checkExact(TableCopy copy) {
    if (copy.isKnown()) {
      Map<String, Long> shown =
          copy.rows().stream().collect(Collectors.toMap(StoredRow::key, StoredRow::version));
      assertWithMessage("at version %s", copy.state().version())
          .that(shown)
          .isEqualTo(history.get((int) copy.state().version()));
    }
  }

  @Test
  void sameRowsAreConfirmed() {
    TableCopy one = new TableCopy(ViewTable.CONFIG);
    TableCopy other = new TableCopy(ViewTable.CONFIG);
    one.apply(TableRead.whole(5, 1_000, List.of(row("a", 3))));
    other.apply(TableRead.whole(9, 2_000, List.of(row("a", 3))));

    assertThat(one.confirm(other.state())).isTrue();

    assertThat(one.state().version()).isEqualTo(9);
    assertThat(one.state().confirmedStoreMs()).isEqualTo(2_000);
  }

  // The other copy was complete before a change that this one has. It says nothing about the time
  // after the change.
  @Test
  void olderRowsAreNotConfirmed() {
    TableCopy one = new TableCopy(ViewTable.CONFIG);
    one.apply(TableRead.whole(5, 1_000, List.of(row("a", 3))));
    one.apply(TableRead.changes(List.of(row("a", 8)), Map.of()));

    assertThat(one.confirm(new TableState(ViewTable.CONFIG, 3, 6, 2_000))).isFalse();

    assertThat(one.state().confirmedStoreMs()).isEqualTo(1_000);
  }

  // A copy read for the first time after a removal shows no trace of it. A copy that still has the
  // row must not be confirmed by it, or it keeps the row for good: the feed shows only what is
  // later.
  @Test
  void firstReadAfterRemovalDoesNotConfirmCopyWithTheRow() {
    TableCopy earlier = new TableCopy(ViewTable.UPSTREAMS);
    earlier.apply(TableRead.whole(2, 1_000, List.of(row("k0", 1), row("k1", 2))));
    TableCopy started = new TableCopy(ViewTable.UPSTREAMS);
    started.apply(TableRead.whole(4, 2_000, List.of(row("k1", 2))));

    earlier.confirm(started.state());
    earlier.apply(TableRead.changes(List.of(row("k2", 5)), Map.of()));

    assertThat(earlier.state().confirmedStoreMs()).isEqualTo(1_000);
  }
}
