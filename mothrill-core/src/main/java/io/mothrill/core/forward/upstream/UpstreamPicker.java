package io.mothrill.core.forward.upstream;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Selects an upstream by its cost among those that accept requests.
 *
 * <pre>{@code
 * Optional<RegisteredUpstream> upstream = picker.pick(new UpstreamQuery("sira", prompt, tried));
 * }</pre>
 */
public final class UpstreamPicker {

  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final UpstreamCost plainCost;
  private final UpstreamCost promptCost;
  private final UpstreamFilter filter;
  private final Predicate<RegisteredUpstream> isWarming;
  private final Predicate<String> isDomainReachable;
  private final Timers timers;

  /**
   * Creates the picker.
   *
   * @param list the registered upstreams
   * @param loads their loads
   * @param plainCost the cost of plain requests
   * @param promptCost the cost of requests with a prompt
   * @param filter determines to which upstreams a request may be sent
   * @param isWarming checks whether an upstream is warming up
   * @param isDomainReachable checks whether a failure domain is reachable
   * @param timers the clock
   */
  public UpstreamPicker(
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      UpstreamCost plainCost,
      UpstreamCost promptCost,
      UpstreamFilter filter,
      Predicate<RegisteredUpstream> isWarming,
      Predicate<String> isDomainReachable,
      Timers timers) {
    this.list = list;
    this.loads = loads;
    this.plainCost = plainCost;
    this.promptCost = promptCost;
    this.filter = filter;
    this.isWarming = isWarming;
    this.isDomainReachable = isDomainReachable;
    this.timers = timers;
  }

  /**
   * Selects an upstream.
   *
   * <p>Upstreams that are warming up, that failed recently or that are in partitioned failure
   * domains are selected only if there is no other, in this order.
   *
   * @param query the request
   * @return the upstream, or empty if none is left
   */
  public Optional<RegisteredUpstream> pick(UpstreamQuery query) {
    long nowMs = timers.nowMs();
    List<RegisteredUpstream> accepting = list.read().acceptingFor(query.service());
    UpstreamCost cost = query.prompt().isPresent() ? promptCost : plainCost;
    ToDoubleFunction<RegisteredUpstream> costOf = cost.costFunction(query, accepting, nowMs);
    List<RegisteredUpstream> untried =
        accepting.stream()
            .filter(upstream -> !query.tried().contains(upstream.incarnation()))
            .toList();
    return Stream.<Predicate<RegisteredUpstream>>of(
            upstream -> isHealthy(upstream, nowMs) && !isWarming.test(upstream),
            upstream -> isHealthy(upstream, nowMs),
            this::isReachable,
            upstream -> true)
        .map(preferred -> untried.stream().filter(preferred))
        .map(matching -> matching.filter(upstream -> filter.permits(upstream, query, nowMs)))
        .map(matching -> cost.select(query, matching.toList(), costOf))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private boolean isHealthy(RegisteredUpstream upstream, long nowMs) {
    return isReachable(upstream) && !loads.of(upstream.incarnation()).isAvoided(nowMs);
  }

  private boolean isReachable(RegisteredUpstream upstream) {
    return isDomainReachable.test(upstream.domain());
  }
}
