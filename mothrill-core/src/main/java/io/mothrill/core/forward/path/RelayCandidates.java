package io.mothrill.core.forward.path;

import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Ranks the instances through which connections to upstreams can be relayed.
 *
 * <p>Connections are spread over all of them, as each has callers of its own. An instance in this
 * failure domain gets some more, because bytes between domains are slower and cost more.
 */
public final class RelayCandidates {

  /** The connections by which instances of this failure domain may be ahead of others. */
  private static final int SAME_DOMAIN_LEAD = 4;

  /** An instance that could not help is asked last for this time. */
  private static final long AVOID_MS = 1_000;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final Predicate<String> isDomainReachable;
  private final Timers timers;
  private final RandomGenerator random;
  private final Map<String, Integer> openCounts = new ConcurrentHashMap<>();
  private final Map<String, Long> avoidUntilMs = new ConcurrentHashMap<>();

  /**
   * Creates the candidates.
   *
   * @param self this instance
   * @param others the other running instances
   * @param isDomainReachable checks whether a failure domain is reachable
   * @param timers the clock
   * @param random chooses among instances with equally many connections
   */
  public RelayCandidates(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      Predicate<String> isDomainReachable,
      Timers timers,
      RandomGenerator random) {
    this.self = self;
    this.others = others;
    this.isDomainReachable = isDomainReachable;
    this.timers = timers;
    this.random = random;
  }

  private record Ranked(InstanceRecord instance, boolean avoided, int openCount, double tieBreak) {}

  /**
   * Ranks the instances, best first.
   *
   * @return all that are not leaving
   */
  public List<InstanceRecord> rank() {
    long nowMs = timers.nowMs();
    return others.get().stream()
        .filter(other -> !other.leaving())
        .map(other -> rankOf(other, nowMs))
        .sorted(
            Comparator.comparing(Ranked::avoided)
                .thenComparingInt(Ranked::openCount)
                .thenComparingDouble(Ranked::tieBreak))
        .map(Ranked::instance)
        .toList();
  }

  private Ranked rankOf(InstanceRecord other, long nowMs) {
    boolean avoided =
        nowMs < avoidUntilMs.getOrDefault(other.incarnation(), Long.MIN_VALUE)
            || !isDomainReachable.test(other.domain());
    int lead = other.domain().equals(self.domain()) ? SAME_DOMAIN_LEAD : 0;
    return new Ranked(
        other,
        avoided,
        openCounts.getOrDefault(other.incarnation(), 0) - lead,
        random.nextDouble());
  }

  /**
   * Called when a connection through an instance is opened.
   *
   * @param instance the instance
   */
  public void onOpened(InstanceRecord instance) {
    openCounts.merge(instance.incarnation(), 1, Integer::sum);
  }

  /**
   * Called when a connection through an instance has ended.
   *
   * @param instance the instance
   */
  public void onClosed(InstanceRecord instance) {
    openCounts.computeIfPresent(
        instance.incarnation(), (name, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Called when an instance could not relay a connection.
   *
   * @param instance the instance
   */
  public void onFailed(InstanceRecord instance) {
    long nowMs = timers.nowMs();
    avoidUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    avoidUntilMs.put(instance.incarnation(), nowMs + AVOID_MS);
  }

  /**
   * Returns the number of connections that are currently relayed for this instance.
   *
   * @return a count
   */
  public int openCount() {
    return openCounts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
