package io.mothrill.core.forward.view;

import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.view.table.RowValue;
import io.mothrill.core.forward.view.table.StoredRow;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.time.Timers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/** A store in memory, whose tables can be made unreadable. */
final class MemoryStore implements StateSource, StoreClock {

  private static final String PLAN_KEY = "config";
  private static final String EVACUATION_PREFIX = "evacuate/";

  /** What happens to reads of a table. */
  enum Fault {
    NONE,
    REFUSES,
    HANGS,
    /** Reads of changes are answered without the changes; whole reads are answered. */
    SILENT_FEED
  }

  /** The kind of a read. */
  enum ReadKind {
    WHOLE,
    CHANGES
  }

  private final Timers timers;
  private final Map<ViewTable, Map<String, StoredRow>> rows = new EnumMap<>(ViewTable.class);
  private final Map<ViewTable, Map<String, Long>> removals = new EnumMap<>(ViewTable.class);
  private final Map<ViewTable, Fault> faults = new EnumMap<>(ViewTable.class);
  private final Map<ViewTable, List<ReadKind>> kinds = new EnumMap<>(ViewTable.class);
  private long version;
  private int wholeReadsToFail;
  private Optional<CompletableFuture<TableRead>> delayed = Optional.empty();

  MemoryStore(Timers timers) {
    this.timers = timers;
    for (ViewTable table : ViewTable.values()) {
      rows.put(table, new TreeMap<>());
      removals.put(table, new TreeMap<>());
      faults.put(table, Fault.NONE);
      kinds.put(table, new ArrayList<>());
    }
  }

  void declarePlan(long planVersion) {
    put(ViewTable.CONFIG, PLAN_KEY, Long.toString(planVersion));
  }

  void evacuate(String domain) {
    put(ViewTable.CONFIG, EVACUATION_PREFIX + domain, "");
  }

  void endEvacuation(String domain) {
    remove(ViewTable.CONFIG, EVACUATION_PREFIX + domain);
  }

  void register(String id) {
    put(ViewTable.UPSTREAMS, id, "ready");
  }

  void deregister(String id) {
    remove(ViewTable.UPSTREAMS, id);
  }

  private void put(ViewTable table, String key, String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    rows.get(table).put(key, new StoredRow(key, ++version, RowValue.of(bytes)));
    removals.get(table).remove(key);
  }

  private void remove(ViewTable table, String key) {
    if (rows.get(table).remove(key) != null) {
      removals.get(table).put(key, ++version);
    }
  }

  void setFault(ViewTable table, Fault fault) {
    faults.put(table, fault);
  }

  void setFaults(Fault fault) {
    faults.replaceAll((table, before) -> fault);
  }

  /** Makes the next whole reads fail. */
  void failWholeReads(int count) {
    wholeReadsToFail = count;
  }

  /** Returns the response to the next read, which the test completes. */
  CompletableFuture<TableRead> delayNextRead() {
    CompletableFuture<TableRead> response = new CompletableFuture<>();
    delayed = Optional.of(response);
    return response;
  }

  /** Returns the kinds of all reads of a table. */
  List<ReadKind> kindsOf(ViewTable table) {
    return kinds.get(table);
  }

  @Override
  public long nowMs() {
    return timers.nowMs();
  }

  @Override
  public long upperBoundMs(long monotonicMs) {
    return monotonicMs;
  }

  /** Returns what a read of the whole table shows now. */
  TableRead whole(ViewTable table) {
    return TableRead.whole(version, timers.nowMs(), List.copyOf(rows.get(table).values()));
  }

  /** Returns what a read of the changes shows now. */
  TableRead changes(ViewTable table, long afterVersion) {
    if (faults.get(table) == Fault.SILENT_FEED) {
      return TableRead.changes(List.of(), Map.of());
    }
    return TableRead.changes(
        rows.get(table).values().stream().filter(row -> row.version() > afterVersion).toList(),
        removals.get(table).entrySet().stream()
            .filter(removal -> removal.getValue() > afterVersion)
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
  }

  @Override
  public CompletableFuture<TableRead> readWhole(ViewTable table, Runnable onProgress) {
    kinds.get(table).add(ReadKind.WHOLE);
    if (wholeReadsToFail > 0) {
      wholeReadsToFail--;
      return CompletableFuture.failedFuture(PlatformException.unreachable("store"));
    }
    return answer(table, whole(table));
  }

  @Override
  public CompletableFuture<TableRead> readChanges(
      ViewTable table, long afterVersion, Runnable onProgress) {
    kinds.get(table).add(ReadKind.CHANGES);
    return answer(table, changes(table, afterVersion));
  }

  private CompletableFuture<TableRead> answer(ViewTable table, TableRead read) {
    Optional<CompletableFuture<TableRead>> late = delayed;
    delayed = Optional.empty();
    if (late.isPresent()) {
      return late.get();
    }
    return switch (faults.get(table)) {
      case REFUSES -> CompletableFuture.failedFuture(PlatformException.unreachable("store"));
      case HANGS -> new CompletableFuture<>();
      default -> CompletableFuture.completedFuture(read);
    };
  }

  /** Decodes the rows of this store. */
  static final class Decoder implements StateDecoder {

    @Override
    public DeclaredConfig decodeConfig(Collection<StoredRow> rows) {
      Optional<ForwardingPlan> plan =
          rows.stream()
              .filter(row -> row.key().equals(PLAN_KEY))
              .findFirst()
              .flatMap(Decoder::plan);
      return new DeclaredConfig(
          plan,
          rows.stream()
              .filter(row -> row.key().startsWith(EVACUATION_PREFIX))
              .map(row -> row.key().substring(EVACUATION_PREFIX.length()))
              .collect(Collectors.toSet()));
    }

    private static Optional<ForwardingPlan> plan(StoredRow row) {
      try {
        long planVersion = Long.parseLong(new String(row.value().bytes(), StandardCharsets.UTF_8));
        return Optional.of(
            new ForwardingPlan(
                planVersion, List.of(), List.of(), List.of(), CallerBounds.standard()));
      } catch (NumberFormatException ex) {
        return Optional.empty();
      }
    }

    @Override
    public UpstreamList decodeUpstreams(Collection<StoredRow> rows) {
      return new UpstreamList(rows.stream().map(Decoder::upstream).toList());
    }

    private static RegisteredUpstream upstream(StoredRow row) {
      return new RegisteredUpstream(
          row.key(),
          "sira",
          "10.0.0.1",
          80 + Math.floorMod(row.key().hashCode(), 10_000),
          "konya",
          6,
          false,
          OptionalLong.empty(),
          RegistrationVersion.UNKNOWN);
    }
  }
}
