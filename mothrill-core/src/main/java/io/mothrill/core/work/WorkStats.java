package io.mothrill.core.work;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Counts what the event loops are woken up for, and for how long; any thread may use it.
 *
 * <pre>{@code
 * work.onTurn(WorkKind.STORE, 120_000);
 * long turns = work.of(WorkKind.STORE).turnCount();
 * }</pre>
 *
 * <p>An instance of a large fleet serves few requests, so most of its processor time goes to what
 * it does without them. Only figures of each kind side by side show what that is.
 */
public final class WorkStats {

  private final Map<WorkKind, Counters> counters = new EnumMap<>(WorkKind.class);

  /** Creates an account with nothing in it. */
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
   * The work of one kind since the start.
   *
   * @param turnCount how often an event loop was busy with it
   * @param busyNanos for how long, in nanoseconds of the steady clock
   * @param openedCount connections that were opened, either way
   * @param receivedBytes bytes that came
   * @param sentBytes bytes that were sent
   */
  public record Totals(
      long turnCount, long busyNanos, long openedCount, long receivedBytes, long sentBytes) {}

  /**
   * Counts one turn of an event loop.
   *
   * @param kind what it was for
   * @param busyNanos how long it took
   */
  public void onTurn(WorkKind kind, long busyNanos) {
    Counters counter = counters.get(kind);
    counter.turnCount.increment();
    counter.busyNanos.add(busyNanos);
  }

  /**
   * Counts a connection.
   *
   * @param kind what it is for
   */
  public void onOpened(WorkKind kind) {
    counters.get(kind).openedCount.increment();
  }

  /**
   * Counts bytes that came.
   *
   * @param kind what they are for
   * @param bytes how many
   */
  public void onReceived(WorkKind kind, long bytes) {
    counters.get(kind).receivedBytes.add(bytes);
  }

  /**
   * Counts bytes that are sent.
   *
   * @param kind what they are for
   * @param bytes how many
   */
  public void onSent(WorkKind kind, long bytes) {
    counters.get(kind).sentBytes.add(bytes);
  }

  /**
   * Gives the work of one kind.
   *
   * @param kind the kind
   * @return the sums since the start
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
   * Gives the work of all kinds.
   *
   * @return an entry for each kind, in their order
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
