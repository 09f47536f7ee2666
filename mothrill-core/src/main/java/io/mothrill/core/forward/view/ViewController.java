package io.mothrill.core.forward.view;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamListState;
import io.mothrill.core.forward.view.exchange.TableMerger;
import io.mothrill.core.forward.view.table.TableCopy;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.TableState;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.time.Timers;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * Keeps copies of the platform's tables up to date and publishes the plan and the upstreams in
 * them.
 *
 * <pre>{@code
 * ViewController view = new ViewController(source, decoder, plan, evacuated, upstreams, ...);
 * view.start();
 * }</pre>
 */
public final class ViewController implements TableMerger {

  private static final String FROM_STORE = "store";
  private static final String FROM_INSTANCE = "instance";

  private final Map<ViewTable, TableCopy> copies = new EnumMap<>(ViewTable.class);
  private final Map<ViewTable, ReadStats> stats = new EnumMap<>(ViewTable.class);
  private final Map<ViewTable, TableReader> readers = new EnumMap<>(ViewTable.class);
  private final List<Consumer<ViewTable>> listeners = new CopyOnWriteArrayList<>();
  private final StateDecoder decoder;
  private final PublishedValue<ForwardingPlan> plan;
  private final ViewPublisher publisher;
  private final OutageDetector outages;

  /**
   * Creates the controller.
   *
   * @param source reads from the store
   * @param decoder decodes rows
   * @param plan the plan in force; its version only increases
   * @param evacuatedDomains the failure domains that operators are evacuating
   * @param upstreams the registered upstreams
   * @param instanceCount the number of instances that read from the store
   * @param storeClock the clock of the store
   * @param timers the clock and timers
   * @param random draws which instances read
   * @param settings the intervals
   */
  public ViewController(
      StateSource source,
      StateDecoder decoder,
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<Set<String>> evacuatedDomains,
      PublishedValue<UpstreamList> upstreams,
      IntSupplier instanceCount,
      StoreClock storeClock,
      Timers timers,
      RandomGenerator random,
      ViewSettings settings) {
    this.decoder = decoder;
    this.plan = plan;
    this.publisher = new ViewPublisher(decoder, plan, evacuatedDomains, upstreams, timers);
    this.outages =
        new OutageDetector(settings.recoveryGraceMs(), timers, this::onRecoveryGraceEnded);
    ReadShare share = new ReadShare(instanceCount, settings, random);
    Arrays.stream(ViewTable.values())
        .forEach(
            table -> {
              long intervalMs =
                  table == ViewTable.CONFIG ? settings.planPollMs() : settings.upstreamPollMs();
              copies.put(table, new TableCopy(table));
              stats.put(table, new ReadStats(table, intervalMs));
              readers.put(
                  table,
                  new TableReader(
                      table,
                      source,
                      copies.get(table),
                      intervalMs,
                      share,
                      storeClock,
                      timers,
                      stats.get(table),
                      new StoreReads(table)));
            });
  }

  /** Starts to read. */
  public void start() {
    readers.values().forEach(TableReader::start);
  }

  private final class StoreReads implements TableReader.Listener {
    private final ViewTable table;

    StoreReads(ViewTable table) {
      this.table = table;
    }

    @Override
    public void onAnswered(TableRead read, long startedMs) {
      boolean wasKnown = copies.get(table).isKnown();
      boolean recovering = outages.isRecovering();
      boolean changed = copies.get(table).apply(read);
      if (changed || !wasKnown) {
        publish(table, FROM_STORE, startedMs, recovering);
      }
      outages.onAnswered(startedMs);
    }

    @Override
    public void onFailed(Throwable error, long startedMs) {
      outages.onFailed(error, startedMs);
    }
  }

  private void publish(ViewTable table, String from, long startedMs, boolean recovering) {
    TableCopy copy = copies.get(table);
    switch (table) {
      case CONFIG -> publisher.publishConfig(copy, from, startedMs);
      case UPSTREAMS -> publisher.publishUpstreams(copy, recovering);
      default -> throw new IllegalStateException("no such table: " + table);
    }
    listeners.forEach(listener -> listener.accept(table));
  }

  /**
   * Registers a listener for changed tables.
   *
   * @param listener called when the rows of a table have changed
   */
  public void subscribe(Consumer<ViewTable> listener) {
    listeners.add(listener);
  }

  @Override
  public TableState state(ViewTable table) {
    return copies.get(table).state();
  }

  @Override
  public boolean isReadable(ViewTable table) {
    return readers.get(table).isAnswered();
  }

  @Override
  public Optional<TableRead> differenceAfter(ViewTable table, long afterVersion) {
    return copies.get(table).differenceAfter(afterVersion);
  }

  @Override
  public boolean merge(ViewTable table, TableRead read, long requestedMs) {
    TableCopy copy = copies.get(table);
    if (!read.isValid() || !isDecodable(table, read)) {
      Logger.warn("table of another instance refused table={} version={}", table, read.version());
      return false;
    }
    boolean wasKnown = copy.isKnown();
    long confirmedBeforeMs = copy.state().confirmedStoreMs();
    boolean changed = copy.apply(read);
    onConfirmed(table, confirmedBeforeMs);
    if (changed || !wasKnown) {
      publish(table, FROM_INSTANCE, requestedMs, outages.isRecovering());
    }
    return copy.state().version() >= read.version();
  }

  /** The store accepts only plans that can be decoded, so another one was damaged on its way. */
  private boolean isDecodable(ViewTable table, TableRead read) {
    return table != ViewTable.CONFIG
        || !plan.read().isKnown()
        || decoder.decodeConfig(copies.get(table).preview(read)).plan().isPresent();
  }

  @Override
  public void confirm(TableState other) {
    long beforeMs = copies.get(other.table()).state().confirmedStoreMs();
    copies.get(other.table()).confirm(other);
    onConfirmed(other.table(), beforeMs);
  }

  private void onConfirmed(ViewTable table, long beforeMs) {
    if (table == ViewTable.UPSTREAMS) {
      outages.onConfirmed(beforeMs, copies.get(table).state().confirmedStoreMs());
    }
  }

  private void onRecoveryGraceEnded() {
    publisher.publishUpstreams(copies.get(ViewTable.UPSTREAMS), outages.isRecovering());
    readers.get(ViewTable.UPSTREAMS).read();
  }

  /**
   * Returns the time since the copy of a table was known to be complete.
   *
   * @param table the table
   * @return milliseconds; very many if it has never been read
   */
  public long confirmedAgeMs(ViewTable table) {
    return readers.get(table).confirmedAgeMs();
  }

  /**
   * Returns how far the list of upstreams is complete.
   *
   * @return a view that follows the copy of the table
   */
  public UpstreamListState upstreamListState() {
    TableCopy copy = copies.get(ViewTable.UPSTREAMS);
    return new UpstreamListState() {
      @Override
      public long readMs() {
        return copy.state().confirmedStoreMs();
      }

      @Override
      public long publishedMs() {
        TableState state = copy.state();
        return publisher.publishedUpstreamChangeVersion() >= state.changeVersion()
            ? state.confirmedStoreMs()
            : UNKNOWN_MS;
      }

      @Override
      public CompletableFuture<Long> refresh() {
        return readers.get(ViewTable.UPSTREAMS).refresh();
      }
    };
  }

  /**
   * Returns the counts of reads from the store.
   *
   * @param table the table
   * @return the counts
   */
  public ReadStats readStats(ViewTable table) {
    return stats.get(table);
  }
}
