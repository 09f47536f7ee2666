package io.mothrill.core.work;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Thread-safe statistics of what the event loops spend their time on.
 *
 * <pre>{@code
 * work.onTurn(WorkKind.STORE, 120_000);
 * long turns = work.totals(WorkKind.STORE).turnCount();
 * }</pre>
 *
 * <p>An instance of a large fleet serves few requests, so most of its CPU time goes to background
 * work. Comparing the figures of all kinds shows which work that is.
 */
public final class WorkStats {

  private final Map<WorkKind, Counters> counters = new EnumMap<>(WorkKind.class);

  /** Creates empty statistics. */
  public WorkStats() {
    Arrays.stream(WorkKind.values()).forEach(kind -> counters.put(kind, new Counters()));
  }

  private static final class Counters {
    private final LongAdder turnCount = new LongAdder();
    private final LongAdder busyNanos = new LongAdder();
    private final LongAdder openedCount = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
  }

  /**
   * The totals of one kind of work since the start.
   *
   * @param turnCount how often an event loop processed it
   * @param busyNanos the processing time, in nanoseconds of the monotonic clock
   * @param openedCount the opened connections, inbound and outbound
   * @param receivedBytes the received bytes
   * @param sentBytes the sent bytes
   */
  public record Totals(
      long turnCount, long busyNanos, long openedCount, long receivedBytes, long sentBytes) {}

  /**
   * Records one run of an event loop.
   *
   * @param kind the kind of work
   * @param busyNanos the processing time
   */
  public void onTurn(WorkKind kind, long busyNanos) {
    Counters counter = counters.get(kind);
    counter.turnCount.increment();
    counter.busyNanos.add(busyNanos);
  }

  /**
   * Records an opened connection.
   *
   * @param kind the kind of work
   */
  public void onOpened(WorkKind kind) {
    counters.get(kind).openedCount.increment();
  }

  /**
   * Records received bytes.
   *
   * @param kind the kind of work
   * @param bytes the number of bytes
   */
  public void onReceived(WorkKind kind, long bytes) {
    counters.get(kind).receivedBytes.add(bytes);
  }

  /**
   * Records sent bytes.
   *
   * @param kind the kind of work
   * @param bytes the number of bytes
   */
  public void onSent(WorkKind kind, long bytes) {
    counters.get(kind).sentBytes.add(bytes);
  }

  /**
   * Returns the totals of one kind.
   *
   * @param kind the kind
   * @return the totals since the start
   */
  public Totals totals(WorkKind kind) {
    Counters counter = counters.get(kind);
    return new Totals(
        counter.turnCount.sum(),
        counter.busyNanos.sum(),
        counter.openedCount.sum(),
        counter.receivedBytes.sum(),
        counter.sentBytes.sum());
  }

  /**
   * Returns the totals of all kinds.
   *
   * @return the totals by kind, in declaration order
   */
  public Map<WorkKind, Totals> all() {
    return counters.keySet().stream()
        .collect(
            Collectors.toMap(
                kind -> kind,
                this::totals,
                (one, other) -> one,
                () -> new EnumMap<>(WorkKind.class)));
  }
}
