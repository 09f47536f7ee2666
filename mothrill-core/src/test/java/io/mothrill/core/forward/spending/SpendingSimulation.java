package io.mothrill.core.forward.spending;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.plan.CallerBounds;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.plan.TeamPlan;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.Row;
import io.mothrill.core.platform.RowKey;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.platform.Transaction;
import io.mothrill.core.platform.error.PlatformException;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Instances that spend the budgets of teams, with a table and peers that fail as a test requires.
 */
final class SpendingSimulation {

  static final String TEAM = "branch";

  private static final long ANSWER_MS = 3;

  final ManualTimers timers = new ManualTimers();
  final FakeTable table = new FakeTable(timers);
  final PublishedValue<ForwardingPlan> plan = new PublishedValue<>(ForwardingPlan.unknown());
  final Random random;
  private final Map<String, SimulatedInstance> instances = new HashMap<>();
  private final List<String> teams;
  private final Map<String, Long> firstTokens = new HashMap<>();
  private long writeTakesMs;
  private long tableIdleAtMs;
  private long peerDelayMs = 1;
  private long prepaidTokens;
  private long spentTokens;
  private long rowsRead;
  private long writeCount;
  private long conflictCount;

  SpendingSimulation(long prepaidTokens, long seed) {
    this(prepaidTokens, seed, List.of(TEAM));
  }

  /** Creates a simulation in which all teams have the same budget. */
  SpendingSimulation(long prepaidTokens, long seed, List<String> teams) {
    this(teams, teams.stream().map(team -> 0L).toList(), seed);
    topUp(prepaidTokens);
  }

  /** Creates a simulation in which each team has its own budget, in the order of the teams. */
  SpendingSimulation(List<String> teams, List<Long> budgets, long seed) {
    this.random = new Random(seed);
    this.teams = teams;
    IntStream.range(0, teams.size())
        .forEach(place -> firstTokens.put(teams.get(place), budgets.get(place)));
    topUp(0);
  }

  /** Makes the table write one transaction after the other, each in this time, from now on. */
  void serializeWrites(long takesMs) {
    writeTakesMs = takesMs;
  }

  /** Makes each message between instances take this long each way, from now on. */
  void delayPeers(long delayMs) {
    peerDelayMs = delayMs;
  }

  /** Returns the time until a transaction that is sent now is written, after those before it. */
  private long writtenInMs() {
    tableIdleAtMs = Math.max(tableIdleAtMs, timers.nowMs()) + writeTakesMs;
    return tableIdleAtMs - timers.nowMs();
  }

  void topUp(long tokens) {
    prepaidTokens += tokens;
    long version = plan.read().version() + 1;
    plan.publish(
        new ForwardingPlan(
            version,
            List.of(),
            List.of(),
            teams.stream().map(this::team).toList(),
            CallerBounds.standard()));
  }

  private TeamPlan team(String name) {
    return new TeamPlan(
        name,
        List.of("key of " + name),
        OptionalInt.empty(),
        OptionalLong.of(prepaidTokens + firstTokens.get(name)),
        RegionRestriction.unrestricted());
  }

  long prepaidTokens() {
    return prepaidTokens;
  }

  /**
   * Returns all tokens that were reserved and not returned, including those of crashed instances.
   */
  long spentTokens() {
    return spentTokens;
  }

  /** Returns the number of rows that all instances have read so far. */
  long rowsRead() {
    return rowsRead;
  }

  /** Returns the number of transactions sent so far, including those with a conflict. */
  long writeCount() {
    return writeCount;
  }

  /** Returns the number of transactions that were not written because of a conflict. */
  long conflictCount() {
    return conflictCount;
  }

  private List<Row> count(List<Row> rows) {
    rowsRead += rows.size();
    return rows;
  }

  private boolean count(boolean written) {
    writeCount++;
    conflictCount += written ? 0 : 1;
    return written;
  }

  SimulatedInstance start(String id) {
    SimulatedInstance instance = new SimulatedInstance(id);
    instances.put(id, instance);
    return instance;
  }

  SimulatedInstance instance(String id) {
    return instances.get(id);
  }

  /** Returns the failure domain of an instance, which is part of its name. */
  private static String domainOf(String id) {
    return id.substring(0, id.lastIndexOf('-'));
  }

  /** One process of an instance. */
  final class SimulatedInstance implements Timers {
    private final String id;
    private final List<HeldReservation> held = new ArrayList<>();
    private final PeerDispatcher dispatcher = new PeerDispatcher();
    final SpendingController spending;
    boolean killed;
    boolean tableUnreachable;
    boolean peersUnreachable;
    boolean answersLost;
    boolean writesDelayed;
    String lastRefusal = "";

    private record HeldReservation(SpendingReservation reservation, long tokens) {}

    SimulatedInstance(String id) {
      this.id = id;
      this.spending =
          new SpendingController(
              new InstanceRecord(id, id, domainOf(id), id, 1, false),
              new FaultyTable(this),
              new TestClock(),
              plan,
              new DemandSharePolicy(),
              this,
              timers.nowMs(),
              random,
              this::ask,
              dispatcher);
    }

    /** Tries to reserve tokens; what is granted counts as spent immediately. */
    boolean tryReserve(long tokens) {
      return tryReserve(TEAM, tokens);
    }

    boolean tryReserve(String team, long tokens) {
      CompletableFuture<SpendingReservation> reserved = reserve(team, tokens);
      boolean[] granted = new boolean[1];
      var unused =
          reserved.whenComplete(
              (reservation, error) -> {
                if (error != null) {
                  lastRefusal = String.valueOf(error.getMessage());
                } else if (!killed) {
                  granted[0] = true;
                  spentTokens += tokens;
                  held.add(new HeldReservation(reservation, tokens));
                }
              });
      return granted[0];
    }

    CompletableFuture<SpendingReservation> reserve(String team, long tokens) {
      return spending.reserve(team(team), tokens);
    }

    void settleOne(long usedTokens) {
      if (!held.isEmpty() && !killed) {
        HeldReservation first = held.remove(0);
        long used = Math.min(usedTokens, first.tokens());
        first.reservation().settle(used);
        spentTokens -= first.tokens() - used;
      }
    }

    void kill() {
      killed = true;
    }

    private CompletableFuture<PeerMessage> ask(
        InstanceRecord peer, PeerMessage request, long timeoutMs) {
      CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
      after(
          timeoutMs,
          () -> reply.completeExceptionally(PeerException.noReply(peer.id(), "timeout")));
      SimulatedInstance to = instances.get(peer.id());
      if (peersUnreachable || to == null || to.peersUnreachable) {
        return reply;
      }
      timers.after(
          peerDelayMs,
          () -> {
            if (!to.killed) {
              to.dispatcher
                  .dispatch(request)
                  .thenAccept(
                      message -> {
                        if (!to.answersLost) {
                          after(peerDelayMs, () -> reply.complete(message));
                        }
                      });
            }
          });
      return reply;
    }

    @Override
    public long nowMs() {
      return timers.nowMs();
    }

    @Override
    public long wallMs() {
      return timers.wallMs();
    }

    @Override
    public Subscription after(long delayMs, Runnable task) {
      return timers.after(delayMs, () -> runUnlessKilled(task));
    }

    @Override
    public Subscription every(long periodMs, Runnable task) {
      return timers.every(periodMs, () -> runUnlessKilled(task));
    }

    private void runUnlessKilled(Runnable task) {
      if (!killed) {
        task.run();
      }
    }
  }

  /** A store clock that equals the clock of the timers. */
  private final class TestClock implements StoreClock {
    @Override
    public long nowMs() {
      return timers.nowMs();
    }

    @Override
    public long upperBoundMs(long steadyMs) {
      return steadyMs;
    }
  }

  /** One process's access to the table, with the faults of that process. */
  private final class FaultyTable implements TableService {
    private static final long MAX_DELAY_MS = 5_000;

    private final SimulatedInstance instance;

    FaultyTable(SimulatedInstance instance) {
      this.instance = instance;
    }

    @Override
    public CompletableFuture<List<Row>> read(List<RowKey> keys) {
      return call(0, 0, () -> count(table.read(keys).join()));
    }

    @Override
    public CompletableFuture<List<Row>> scan(
        String name, String prefix, String afterKey, int limit) {
      return call(0, 0, () -> count(table.scan(name, prefix, afterKey, limit).join()));
    }

    @Override
    public CompletableFuture<Boolean> write(Transaction transaction) {
      long delayMs = instance.writesDelayed ? random.nextLong(MAX_DELAY_MS) : 0;
      return call(delayMs, writtenInMs(), () -> count(table.write(transaction).join()));
    }

    /**
     * Applies an effect; a late one is applied even if its sender has crashed by then, and is not
     * answered.
     */
    private <T> CompletableFuture<T> call(long delayMs, long takesMs, Supplier<T> effect) {
      CompletableFuture<T> answer = new CompletableFuture<>();
      if (instance.tableUnreachable) {
        instance.after(
            500, () -> answer.completeExceptionally(PlatformException.unreachable("table")));
        return answer;
      }
      boolean lost = instance.answersLost || delayMs > 0;
      timers.after(
          1 + delayMs + takesMs,
          () -> {
            T value = effect.get();
            if (!lost) {
              instance.after(ANSWER_MS, () -> answer.complete(value));
            }
          });
      if (lost) {
        instance.after(
            1_000, () -> answer.completeExceptionally(PlatformException.responseLost("table")));
      }
      return answer;
    }
  }
}
