package io.mothrill.core.forward.contention;

import io.mothrill.core.forward.upstream.UpstreamCondition;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * The current slowness of each upstream: the slowdown of its machine and the wait for its earlier
 * requests.
 *
 * <p>Both are forgotten quickly, since they change many times per second. They are kept by
 * incarnation, so nothing known about a process applies to a later one with the same id.
 * Thread-safe.
 *
 * <pre>{@code
 * double costMs = contention.slowdown(incarnation, nowMs) * workMs
 *     + contention.waitMs(incarnation, nowMs);
 * }</pre>
 */
public final class UpstreamContention implements UpstreamCondition {

  /** Time in which an announced slowdown fades; machines change several times per second. */
  private static final long SLOWDOWN_FADE_MS = 600;

  /**
   * Longest wait that is remembered, so that an upstream that has recovered is used again within
   * seconds. A wait that lasts longer is observed again by the requests that are still waiting.
   */
  private static final long MAX_WAIT_MS = 4_000;

  /**
   * The earliest part of a wait after which an instance uses the upstream again.
   *
   * <p>A wait is known to all instances at almost the same moment. If all of them used the upstream
   * again at its end, it would be idle until then and overloaded right afterwards. Each instance
   * returns at a random time in the rest of the wait instead. Nobody returns earlier because
   * requests that were sent before the report arrived add to the wait.
   */
  private static final double MIN_RETURN_SHARE = 0.5;

  private final RandomGenerator random;
  private final Map<String, State> byIncarnation = new ConcurrentHashMap<>();

  /**
   * Creates the state; no upstream is slow initially.
   *
   * @param random must differ between instances, which use an upstream again at random times
   */
  public UpstreamContention(RandomGenerator random) {
    this.random = random;
  }

  private record Slowdown(double factor, long atMs) {

    double at(long nowMs) {
      double remaining = Math.max(0, 1 - (nowMs - atMs) / (double) SLOWDOWN_FADE_MS);
      return 1 + (factor - 1) * remaining;
    }
  }

  /**
   * The last known wait.
   *
   * @param waitMs the wait
   * @param atMs when it was observed
   * @param returnAtMs when this instance uses the upstream again
   */
  private record Wait(double waitMs, long atMs, long returnAtMs) {

    double remainingMs(long nowMs) {
      return Math.max(0, waitMs - Math.max(0, nowMs - atMs));
    }

    double effectiveMs(long nowMs) {
      return nowMs >= returnAtMs ? 0 : remainingMs(nowMs);
    }
  }

  private record State(Slowdown slowdown, Wait lastWait) {

    static final State IDLE =
        new State(
            new Slowdown(1, Long.MIN_VALUE / 2),
            new Wait(0, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2));
  }

  /**
   * Returns how much longer work currently takes on the machine of an upstream.
   *
   * @param incarnation the incarnation of the upstream
   * @param nowMs the current time
   * @return a factor; 1 when work takes as long as usual or nothing recent is known
   */
  @Override
  public double slowdown(String incarnation, long nowMs) {
    return stateOf(incarnation).slowdown().at(nowMs);
  }

  /**
   * Returns how long a request sent now would wait at an upstream.
   *
   * @param incarnation the incarnation of the upstream
   * @param nowMs the current time
   * @return the wait in milliseconds; 0 when there is none or nothing recent is known
   */
  @Override
  public double waitMs(String incarnation, long nowMs) {
    return stateOf(incarnation).lastWait().effectiveMs(nowMs);
  }

  private State stateOf(String incarnation) {
    return byIncarnation.getOrDefault(incarnation, State.IDLE);
  }

  /** Records the slowdown that an upstream has announced. */
  void onSlowdown(String incarnation, double factor, long nowMs) {
    update(incarnation, state -> new State(new Slowdown(factor, nowMs), state.lastWait()));
  }

  /**
   * Records the wait of an own request.
   *
   * <p>A shorter wait than the known one counts only if the request was sent after that one was
   * recorded: requests sent earlier did not wait behind the same ones.
   */
  void onObservedWait(String incarnation, double waitMs, long sentMs, long nowMs) {
    update(
        incarnation,
        state ->
            sentMs > state.lastWait().atMs() || waitMs > state.lastWait().remainingMs(nowMs)
                ? new State(state.slowdown(), newWait(waitMs, nowMs))
                : state);
  }

  /** Records a wait reported by another instance; the longer one of both counts. */
  void onReportedWait(String incarnation, double waitMs, long nowMs) {
    update(
        incarnation,
        state ->
            waitMs > state.lastWait().remainingMs(nowMs)
                ? new State(state.slowdown(), newWait(waitMs, nowMs))
                : state);
  }

  private Wait newWait(double waitMs, long nowMs) {
    double boundedMs = Math.min(MAX_WAIT_MS, waitMs);
    double share = MIN_RETURN_SHARE + (1 - MIN_RETURN_SHARE) * random.nextDouble();
    return new Wait(boundedMs, nowMs, nowMs + (long) Math.ceil(boundedMs * share));
  }

  private void update(String incarnation, UnaryOperator<State> change) {
    byIncarnation.compute(
        incarnation, (name, state) -> change.apply(state == null ? State.IDLE : state));
  }

  /** Removes upstreams that are no longer registered. */
  void retain(UpstreamList list) {
    byIncarnation.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }

  /** Returns the number of upstreams at which requests currently have to wait. */
  long waitingCount(long nowMs) {
    return byIncarnation.values().stream()
        .filter(state -> state.lastWait().effectiveMs(nowMs) > 0)
        .count();
  }
}
