package io.mothrill.core.forward.limit;

import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/** Knows which upstreams name a limit, and how many requests they got from here since. */
public final class NamedLimits {

  private final Timers timers;
  private final Map<String, Named> named = new ConcurrentHashMap<>();

  /** One limit: since when it is known, when it was said last, and the requests sent since. */
  private record Named(double limitPerS, long sinceMs, long saidMs, AtomicLong sentCount) {}

  /**
   * Creates the limits; none is known at first.
   *
   * @param timers the time
   */
  public NamedLimits(Timers timers) {
    this.timers = timers;
  }

  /**
   * Takes what an answer says.
   *
   * @param upstream the upstream that has answered
   * @param sentMs when the request was written that it answers
   * @param limitPerS the limit that it names; empty when it names none
   */
  public void onAnswer(ServingUpstream upstream, long sentMs, OptionalDouble limitPerS) {
    if (limitPerS.isPresent()) {
      onNamed(upstream.incarnation(), limitPerS.getAsDouble());
    } else if (named.containsKey(upstream.incarnation())) {
      onNoneNamed(upstream.incarnation(), sentMs);
    }
  }

  private void onNamed(String incarnation, double limitPerS) {
    long nowMs = timers.nowMs();
    named.compute(
        incarnation,
        (name, before) -> {
          if (before == null || before.limitPerS() != limitPerS) {
            Logger.info("upstream names limit upstream={} limitPerS={}", name, limitPerS);
          }
          return before == null
              ? new Named(limitPerS, nowMs, nowMs, new AtomicLong())
              : new Named(limitPerS, before.sinceMs(), nowMs, before.sentCount());
        });
  }

  /** An answer to a request that was written before the limit was last named may be older. */
  private void onNoneNamed(String incarnation, long sentMs) {
    named.computeIfPresent(
        incarnation,
        (name, before) -> {
          if (sentMs <= before.saidMs()) {
            return before;
          }
          Logger.info(
              "upstream names no limit any more upstream={} limitPerS={} forMs={} sent={}",
              name,
              before.limitPerS(),
              timers.nowMs() - before.sinceMs(),
              before.sentCount());
          return null;
        });
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(ServingUpstream upstream) {
    Named limit = named.get(upstream.incarnation());
    if (limit != null) {
      limit.sentCount().incrementAndGet();
    }
  }

  /**
   * Counts the upstreams that name a limit, as far as this instance knows.
   *
   * @return a count
   */
  public int limitedCount() {
    return named.size();
  }

  /**
   * Counts what upstreams that name a limit got from here since they named it.
   *
   * @return requests
   */
  public long sentCount() {
    return named.values().stream().mapToLong(limit -> limit.sentCount().get()).sum();
  }

  /**
   * Forgets upstreams that have gone.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    named.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }
}
