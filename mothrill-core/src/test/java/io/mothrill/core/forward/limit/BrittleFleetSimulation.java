package io.mothrill.core.forward.limit;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.lease.LeaseMessage;
import io.mothrill.core.forward.lease.SendLease;
import io.mothrill.core.forward.lease.UpstreamLeases;
import io.mothrill.core.forward.permit.FixedFleet;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

/** Instances that send requests to brittle upstreams, in simulated time. */
final class BrittleFleetSimulation {

  static final int MAX_PER_S = 4;

  private static final int SLOTS = 6;
  private static final int QUEUE = 2;
  private static final int SERVICE_MS = 85;
  private static final double LOST_NOTICES = 0.05;
  private static final int SECOND_MS = 1_000;
  private static final int DEADLINE_MS = 1_500;

  private final ManualTimers timers = new ManualTimers();
  private final Conditions conditions;
  private final Random random;
  private final List<Replica> replicas = new ArrayList<>();
  private final PublishedValue<UpstreamList> list;
  private final List<Member> fleet = new ArrayList<>();
  private int falls;
  private int came;
  private int served;

  /**
   * What differs between simulations.
   *
   * @param instances the number of instances
   * @param upstreams the number of upstreams
   * @param hopMs the delay between any two processes
   * @param maxLatenessMs the maximum additional delay until an instance reads a notice
   * @param returnMs the time after which an upstream that has fallen over is back under a new
   *     identity; 0 if it stays up
   */
  record Conditions(int instances, int upstreams, int hopMs, int maxLatenessMs, int returnMs) {}

  /** The outcome of a period. */
  record Outcome(int falls, int came, int served) {}

  BrittleFleetSimulation(Conditions conditions, long seed) {
    this.conditions = conditions;
    this.random = new Random(seed);
    IntStream.range(0, conditions.upstreams()).mapToObj(Replica::new).forEach(replicas::add);
    this.list = new PublishedValue<>(currentList());
    List<InstanceRecord> records =
        IntStream.range(0, conditions.instances())
            .mapToObj(
                number ->
                    new InstanceRecord("e" + number, "e" + number, "a", "" + number, 1, false))
            .toList();
    records.forEach(self -> fleet.add(new Member(self, records)));
  }

  private UpstreamList currentList() {
    return new UpstreamList(replicas.stream().map(replica -> replica.registered).toList());
  }

  /** Lets requests come at random instances. */
  Outcome play(int perS, int durationMs) {
    falls = 0;
    came = 0;
    served = 0;
    for (int atMs = 0; atMs < durationMs; atMs++) {
      timers.advanceMs(1);
      int requests = perS / SECOND_MS + (random.nextInt(SECOND_MS) < perS % SECOND_MS ? 1 : 0);
      for (int request = 0; request < requests; request++) {
        came++;
        fleet.get(random.nextInt(fleet.size())).call();
      }
    }
    return new Outcome(falls, came, served);
  }

  private void deliver(Runnable notice) {
    if (random.nextDouble() >= LOST_NOTICES) {
      int latenessMs =
          conditions.maxLatenessMs() == 0 ? 0 : random.nextInt(conditions.maxLatenessMs());
      timers.after(conditions.hopMs() + latenessMs, notice);
    }
  }

  /** An upstream that runs some requests, queues a few, and turns the others away. */
  private final class Replica {
    private final int number;
    private final Deque<Long> endsMs = new ArrayDeque<>();
    private final Deque<Long> turnedAwayMs = new ArrayDeque<>();
    private RegisteredUpstream registered;
    private int starts;
    private boolean down;

    private Replica(int number) {
      this.number = number;
      register();
    }

    private void register() {
      starts++;
      registered =
          new RegisteredUpstream(
              "i-" + number + "-" + starts,
              "sira",
              "10.0.0." + number,
              80,
              "konya",
              SLOTS,
              false,
              OptionalLong.of(0),
              new RegistrationVersion(1, 1));
    }

    /** Returns the time until the request ends; empty if it is turned away. */
    private OptionalLong start() {
      long nowMs = timers.nowMs();
      endsMs.removeIf(endMs -> endMs <= nowMs);
      if (endsMs.size() < SLOTS + QUEUE) {
        long startMs = endsMs.size() < SLOTS ? nowMs : nthEndMs(endsMs.size() - SLOTS);
        endsMs.addLast(startMs + SERVICE_MS);
        return OptionalLong.of(startMs + SERVICE_MS - nowMs);
      }
      turnedAwayMs.removeIf(atMs -> nowMs - atMs >= SECOND_MS);
      turnedAwayMs.add(nowMs);
      if (turnedAwayMs.size() > MAX_PER_S) {
        fall();
      }
      return OptionalLong.empty();
    }

    private long nthEndMs(int index) {
      return endsMs.stream().skip(index).findFirst().orElseThrow();
    }

    private int occupied() {
      return (int) endsMs.stream().filter(endMs -> endMs > timers.nowMs()).count();
    }

    private void fall() {
      falls++;
      turnedAwayMs.clear();
      if (conditions.returnMs() > 0) {
        down = true;
        endsMs.clear();
        timers.after(conditions.returnMs(), this::comeBack);
      }
    }

    private void comeBack() {
      down = false;
      register();
      list.publish(currentList());
    }
  }

  /** An instance and what it knows. */
  private final class Member {
    private final UpstreamLoads loads = new UpstreamLoads();
    private final InstanceRecord self;
    private final UpstreamLeases leases;
    private final RejectionBudgets budgets;

    private Member(InstanceRecord self, List<InstanceRecord> records) {
      this.self = self;
      FleetView view = FixedFleet.of(self, records);
      this.leases = new UpstreamLeases(self, view, list, this::send, timers, random);
      this.budgets = new RejectionBudgets(self, view, list, loads, leases, this::broadcast, timers);
    }

    private void send(LeaseMessage message, InstanceRecord to) {
      Member receiver = fleet.get(Integer.parseInt(to.host()));
      deliver(
          () ->
              receiver.leases.onMessage(
                  message, InstanceRecord.ofAddress(self.host(), self.peerPort())));
    }

    private void broadcast(RejectionReport report, List<InstanceRecord> to) {
      fleet.stream()
          .filter(member -> member != this)
          .forEach(member -> deliver(() -> member.budgets.onReport(report)));
    }

    private void call() {
      List<Replica> order = new ArrayList<>(replicas);
      Collections.shuffle(order, random);
      tryNext(new ArrayDeque<>(order));
    }

    private void tryNext(Deque<Replica> order) {
      Replica replica = order.poll();
      if (replica == null) {
        return;
      }
      if (!budgets.hasRoom(replica.registered)) {
        tryNext(order);
        return;
      }
      budgets
          .acquireLease(replica.registered, DEADLINE_MS)
          .thenAccept(
              lease -> {
                if (lease.isPresent()
                    && (lease.get().isHeld() || budgets.tryAcquire(replica.registered))) {
                  forward(replica, lease.get());
                } else {
                  tryNext(order);
                }
              });
    }

    private void forward(Replica replica, SendLease lease) {
      RegisteredUpstream upstream = replica.registered;
      long sentMs = timers.nowMs();
      loads.of(upstream.incarnation()).onSent(0);
      timers.after(
          conditions.hopMs(),
          () -> {
            if (replica.down || replica.registered != upstream) {
              timers.after(conditions.hopMs(), () -> onLost(upstream, lease));
              return;
            }
            OptionalLong tookMs = replica.start();
            timers.after(
                tookMs.orElse(0),
                () -> {
                  int occupied = replica.occupied();
                  timers.after(
                      conditions.hopMs(),
                      () -> onEnd(replica, upstream, lease, sentMs, tookMs.isEmpty(), occupied));
                });
          });
    }

    private void onLost(RegisteredUpstream upstream, SendLease lease) {
      loads.of(upstream.incarnation()).onRequestEnded();
      lease.abort();
    }

    private void onEnd(
        Replica replica,
        RegisteredUpstream upstream,
        SendLease lease,
        long sentMs,
        boolean turnedAway,
        int occupied) {
      if (replica.down || replica.registered != upstream) {
        onLost(upstream, lease);
        return;
      }
      loads.of(upstream.incarnation()).onRequestEnded();
      loads.of(upstream.incarnation()).onReport(occupied, 0, timers.nowMs());
      budgets.onAnswer(upstream, sentMs, OptionalInt.of(MAX_PER_S), turnedAway);
      lease.onAnswer(OptionalInt.of(occupied), false, turnedAway);
      lease.end();
      served += turnedAway ? 0 : 1;
    }
  }
}
