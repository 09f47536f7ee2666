package io.mothrill.core.forward.warmup;

import io.mothrill.core.board.Section;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.permit.SendPermits;
import io.mothrill.core.forward.plan.WarmUpPlan;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamWord;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/** Instances with views of each other, and upstreams that turn cold under all of them. */
final class WarmUpWorld {

  static final int DOMAINS = 4;
  static final int MOST_IN_A_SECOND = 18;

  /** Reads of the fleet: six rows a second, as instances do. */
  private static final int ROWS_PER_S = 6;

  /** Views of eight instances are current for so long. */
  static final long CURRENT_MS = 8 * 1_000 / ROWS_PER_S + 2_000;

  private static final WarmUpPlan PLAN = new WarmUpPlan(3_000, 8.7);
  private static final WarmUpBounds BOUNDS = new WarmUpBounds(1.5, 5);

  private final ManualTimers timers;
  private final Map<String, Instance> living = new TreeMap<>();
  private final Map<Integer, Long> words = new TreeMap<>();

  WarmUpWorld(ManualTimers timers, int count) {
    this.timers = timers;
    for (int number = 0; number < count; number++) {
      start("edge-" + number, number % DOMAINS);
    }
    living.values().forEach(Instance::grownOld);
    living.values().forEach(Instance::read);
  }

  Instance start(String id, int domain) {
    Instance instance = new Instance(id, "domain-" + domain);
    living.put(id, instance);
    return instance;
  }

  void stop(String id) {
    living.remove(id);
  }

  List<Instance> instances() {
    return new ArrayList<>(living.values());
  }

  Instance senderTo(ServingUpstream upstream) {
    return instances().stream()
        .filter(instance -> instance.isSenderTo(upstream))
        .findFirst()
        .orElseThrow();
  }

  /** Lets an upstream turn cold, and all instances read of it. */
  ServingUpstream turnCold(int number, long leftMs) {
    long word = words.merge(number, 1L, Long::sum);
    ServingUpstream cold =
        new ServingUpstream(
            "i-" + number,
            "asistan",
            "10.1.0." + number,
            80,
            "domain-" + number % DOMAINS,
            16,
            false,
            OptionalLong.of(leftMs),
            new UpstreamWord(1, word));
    instances().forEach(instance -> instance.list.publish(new UpstreamList(List.of(cold))));
    return cold;
  }

  /** One instance, as far as it sends to upstreams that warm up. */
  final class Instance implements FleetView {

    private final InstanceRecord record;
    private final Section<UpstreamList> list = new Section<>(UpstreamList.empty());
    private final WarmingUpstreams warming;
    private final SendPermits permits;
    private List<InstanceRecord> others = List.of();
    private long startedMs;
    private long readMs;
    private boolean cutOff;

    private Instance(String id, String domain) {
      this.record = new InstanceRecord(id, id, domain, "10.0.0.1", 1, false);
      this.startedMs = timers.nowMs();
      this.readMs = startedMs;
      Timers time = timers;
      this.warming =
          new WarmingUpstreams(list, new Section<>(Set.of()), service -> Optional.of(PLAN), time);
      this.permits =
          new SendPermits(
              record,
              this,
              new WarmUpAllowances(warming, service -> Optional.of(PLAN), BOUNDS),
              time);
    }

    InstanceRecord record() {
      return record;
    }

    SendPermits permits() {
      return permits;
    }

    boolean isWarming(ServingUpstream upstream) {
      return warming.isWarming(upstream);
    }

    boolean isSenderTo(ServingUpstream upstream) {
      return permits.hasPermit(upstream);
    }

    private void grownOld() {
      startedMs = timers.nowMs() - 3_600_000;
    }

    void cutOff() {
      cutOff = true;
    }

    void reconnect() {
      cutOff = false;
    }

    /** Reads the rows of the others: those that renew theirs. */
    void read() {
      if (cutOff) {
        return;
      }
      readMs = timers.nowMs();
      others =
          instances().stream()
              .filter(other -> !other.cutOff && other != this)
              .map(Instance::record)
              .toList();
    }

    @Override
    public List<InstanceRecord> others() {
      return others;
    }

    @Override
    public boolean isCurrent() {
      long dueMs = (others.size() + 1) * 1_000L / ROWS_PER_S + 2_000;
      long nowMs = timers.nowMs();
      return nowMs - readMs <= dueMs && nowMs - startedMs >= dueMs;
    }
  }
}
