package io.mothrill.core.forward.stream;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.DeclaredConfig;
import io.mothrill.core.forward.view.StateDecoder;
import io.mothrill.core.forward.view.StateSource;
import io.mothrill.core.forward.view.ViewController;
import io.mothrill.core.forward.view.ViewSettings;
import io.mothrill.core.forward.view.table.RowValue;
import io.mothrill.core.forward.view.table.StoredRow;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

// Guards against reads of the real list of upstreams after which the versions that can have begun a
// stream are taken for known although they are not, or for unknown although they are.
class OriginListReadsTest {

  private static final String SERVICE = "asistan";
  private static final String MALFORMED = "!";
  private static final long WITHIN_MS = 17_000;
  private static final long KNOWN_AFTER_MS = WITHIN_MS + 21_000;
  private static final long MAX_GAP_MS = 2_000;
  private static final long MAX_WAIT_MS = 250;

  /** As many reads of a table as the reader lets wait for the store at the same time. */
  private static final int MAX_PENDING = 3;

  private final ManualTimers timers = new ManualTimers();
  private final Store store = new Store();
  private final PublishedValue<UpstreamList> upstreams = new PublishedValue<>(UpstreamList.empty());
  private final ViewController view =
      new ViewController(
          store,
          new Decoder(),
          new PublishedValue<>(ForwardingPlan.unknown()),
          new PublishedValue<>(Set.of()),
          upstreams,
          () -> 1,
          store,
          timers,
          new Random(1),
          new ViewSettings(500, 500, 2_500, 1_000));
  private final ServedVersions served =
      new ServedVersions(upstreams, view.upstreamListState(), store, timers);

  OriginListReadsTest() {
    store.register("i-1", "v1");
    store.register("i-2", "v1");
    view.start();
    timers.advanceMs(KNOWN_AFTER_MS);
  }

  /** A store whose reads of the list take pages or time. */
  private final class Store implements StateSource, StoreClock {
    private final Map<String, StoredRow> rows = new TreeMap<>();
    private long version;
    private Runnable afterFirstPage = () -> {};
    private long wholeReadMs;
    private int wholeReads;
    private int mostWholeReads;

    void register(String id, String value) {
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      rows.put(id, new StoredRow(id, ++version, RowValue.of(bytes)));
    }

    @Override
    public long nowMs() {
      return timers.nowMs();
    }

    @Override
    public long upperBoundMs(long steadyMs) {
      return steadyMs;
    }

    @Override
    public CompletableFuture<TableRead> readWhole(ViewTable table, Runnable onProgress) {
      if (table == ViewTable.CONFIG) {
        return CompletableFuture.completedFuture(TableRead.whole(0, nowMs(), List.of()));
      }
      long firstPageVersion = version;
      long firstPageMs = nowMs();
      afterFirstPage.run();
      afterFirstPage = () -> {};
      TableRead read = TableRead.whole(firstPageVersion, firstPageMs, List.copyOf(rows.values()));
      if (wholeReadMs == 0) {
        return CompletableFuture.completedFuture(read);
      }
      mostWholeReads = Math.max(mostWholeReads, ++wholeReads);
      CompletableFuture<TableRead> result = new CompletableFuture<>();
      timers.after(
          wholeReadMs,
          () -> {
            wholeReads--;
            result.complete(read);
          });
      return result;
    }

    @Override
    public CompletableFuture<TableRead> readChanges(
        ViewTable table, long afterVersion, Runnable onProgress) {
      List<StoredRow> changed =
          table == ViewTable.CONFIG
              ? List.of()
              : rows.values().stream().filter(row -> row.version() > afterVersion).toList();
      return CompletableFuture.completedFuture(TableRead.changes(changed, Map.of()));
    }
  }

  /** Decodes rows whose value is a version; without malformed entries, like the store's decoder. */
  private static final class Decoder implements StateDecoder {

    @Override
    public DeclaredConfig decodeConfig(Collection<StoredRow> rows) {
      return new DeclaredConfig(Optional.empty(), Set.of());
    }

    @Override
    public UpstreamList decodeUpstreams(Collection<StoredRow> rows) {
      Map<String, String> versions = new HashMap<>();
      rows.forEach(
          row -> versions.put(row.key(), new String(row.value().bytes(), StandardCharsets.UTF_8)));
      versions.values().removeIf(MALFORMED::equals);
      return new UpstreamList(
          versions.entrySet().stream()
              .map(entry -> upstream(entry.getKey(), entry.getValue()))
              .collect(Collectors.toList()));
    }
  }

  private static RegisteredUpstream upstream(String id, String version) {
    return new RegisteredUpstream(
        id,
        SERVICE,
        version,
        "10.0.0." + id.substring(2),
        80,
        "d0",
        6,
        false,
        OptionalLong.empty(),
        RegistrationVersion.UNKNOWN);
  }

  private Optional<String> onlyVersion() {
    long nowMs = store.nowMs();
    CompletableFuture<Long> refreshed = served.refresh();
    timers.advanceMs(MAX_WAIT_MS);
    return refreshed.isDone()
        ? served.onlyVersion(SERVICE, nowMs - WITHIN_MS, refreshed.join(), List.of())
        : Optional.empty();
  }

  @Test
  void versionThatServedForTheWholeTimeIsTheOnlyOne() {
    assertThat(onlyVersion()).hasValue("v1");
  }

  // A row that changes between two pages of a whole read leaves the list unconfirmed for good, so
  // streams are refused where one version has served for long.
  @Test
  void changeBetweenPagesDoesNotEndConfirmations() {
    store.afterFirstPage = () -> store.register("i-2", "v1");
    var unused = served.refresh();
    timers.advanceMs(KNOWN_AFTER_MS);

    assertThat(store.nowMs() - view.upstreamListState().publishedMs()).isAtMost(MAX_GAP_MS);
    assertThat(served.mayHaveSeveral(SERVICE, WITHIN_MS)).isFalse();
    assertThat(onlyVersion()).hasValue("v1");
  }

  // A change that another instance passes on while the whole list is being read makes the read
  // count for nothing, so the stream that waits for it is refused.
  @Test
  void changeDuringWholeReadDoesNotRefuseStream() {
    store.wholeReadMs = 200;
    timers.advanceMs(100);
    timers.after(20, this::receiveChangeFromAnother);

    assertThat(onlyVersion()).hasValue("v1");
  }

  private void receiveChangeFromAnother() {
    store.register("i-2", "v1");
    TableState other =
        new TableState(ViewTable.UPSTREAMS, store.version, store.version, store.nowMs() - 700);
    view.merge(
        ViewTable.UPSTREAMS,
        TableRead.difference(other, List.of(store.rows.get("i-2")), store.rows.keySet()),
        store.nowMs());
  }

  // Streams taken up while the store or the link is slow each start one more read of the whole
  // list.
  @Test
  void readsOfSlowStoreAreBounded() {
    store.wholeReadMs = 2_000;
    for (int takeUp = 0; takeUp < 40; takeUp++) {
      var unused = served.refresh();
      timers.advanceMs(50);
    }

    assertThat(store.mostWholeReads).isAtMost(MAX_PENDING);
  }

  // An entry that this instance cannot decode, as its value was damaged on the way, may be one of
  // the version that began the stream; others have decoded it.
  @Test
  void entryThatIsNotUnderstoodMayBeOfAnotherVersion() {
    store.register("i-3", MALFORMED);
    timers.advanceMs(1_000);

    assertThat(onlyVersion()).isEmpty();
  }

  // The question to the instance that has the record was lost. The list, which lacks what serves
  // behind a cut, must not decide before the question is repeated.
  @Test
  void listDoesNotDecideBeforeRecordArrives() {
    InstanceRecord self = new InstanceRecord("e0", "e0", "d0", "10.1.0.1", 1, false);
    InstanceRecord holder = new InstanceRecord("e1", "e1", "d0", "10.1.0.2", 2, false);
    List<StreamNotice> sent = new ArrayList<>();
    StreamOrigins origins =
        new StreamOrigins(
            self,
            () -> List.of(holder),
            served,
            (notice, to) -> sent.add(notice),
            new FakeTable(timers),
            store,
            timers);
    StreamOrigin begun = new StreamOrigin(SERVICE, "v0");

    timers.advanceMs(200);
    final CompletableFuture<Optional<StreamOrigin>> found = origins.find("a1", SERVICE, WITHIN_MS);
    timers.advanceMs(90);
    origins.onNotice(new StreamNotice.Answer("a1", Set.of(begun), Optional.empty()), holder);
    timers.advanceMs(MAX_WAIT_MS);

    assertThat(sent).isNotEmpty();
    assertThat(found.join()).hasValue(begun);
  }

  // Something else that follows the list fails on a new version, so the versions are never told of
  // it. The list must not count as published.
  @Test
  void listThatWasNotReceivedIsNotConfirmed() {
    PublishedValue<UpstreamList> list = new PublishedValue<>(UpstreamList.empty());
    ViewController other =
        new ViewController(
            store,
            new Decoder(),
            new PublishedValue<>(ForwardingPlan.unknown()),
            new PublishedValue<>(Set.of()),
            list,
            () -> 1,
            store,
            timers,
            new Random(1),
            new ViewSettings(500, 500, 2_500, 1_000));
    list.subscribe(OriginListReadsTest::failOnThird);
    final ServedVersions versions =
        new ServedVersions(list, other.upstreamListState(), store, timers);
    other.start();
    timers.advanceMs(KNOWN_AFTER_MS);
    store.register("i-3", "v2");
    timers.advanceMs(MAX_GAP_MS);

    assertThat(
            versions.onlyVersion(
                SERVICE, store.nowMs() - WITHIN_MS, store.nowMs() - 1_000, List.of()))
        .isEmpty();
  }

  private static void failOnThird(UpstreamList list) {
    if (list.all().size() > 2) {
      throw new IllegalStateException("a follower of the list fails");
    }
  }
}
