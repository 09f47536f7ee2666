package io.mothrill.core.forward.prompt;

import io.mothrill.core.forward.plan.Route;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The prefill times that separate the classes of prompts of one service.
 *
 * @param shortMs the limit below which a prompt is short
 * @param longMs the limit up to which a prompt is long
 */
record PromptClassLimits(double shortMs, double longMs) {

  /** Of the smallest target latency: several short prompts at one engine still are in time. */
  private static final double SHORT_TARGET_SHARE = 0.125;

  private static final double STALL_PAUSE_SHARE = 0.75;

  /**
   * As a multiple of the longest pause. A prompt in another pool than its prefix is prefilled with
   * the prefix once more; with a limit of 0.75, engines prefilled twice as many shared tokens, and
   * fewer long prompts were on time than without pools.
   */
  private static final double LONG_PAUSE_SHARE = 2;

  /**
   * Derives the limits from what callers of a service need.
   *
   * @param service the service's name
   * @param routes all routes; those without a longest pause count with their target latency instead
   * @return the limits; infinite if no streaming route leads to the service
   */
  static PromptClassLimits of(String service, List<Route> routes) {
    List<Route> streaming =
        routes.stream()
            .filter(route -> route.kind().isStream())
            .filter(
                route ->
                    route.targets().stream().anyMatch(target -> target.service().equals(service)))
            .toList();
    double shortMs = SHORT_TARGET_SHARE * min(streaming.stream().mapToLong(Route::targetLatencyMs));
    double longMs = LONG_PAUSE_SHARE * min(pausesMs(streaming));
    return new PromptClassLimits(shortMs, Math.max(shortMs, longMs));
  }

  private static LongStream pausesMs(List<Route> streaming) {
    boolean declared = streaming.stream().anyMatch(route -> route.maxPauseMs().isPresent());
    Stream<Route> routes = streaming.stream();
    return declared
        ? routes.map(Route::maxPauseMs).flatMapToLong(OptionalLong::stream)
        : routes.mapToLong(Route::targetLatencyMs);
  }

  private static double min(LongStream valuesMs) {
    OptionalLong minMs = valuesMs.min();
    return minMs.isPresent() ? minMs.getAsLong() : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the prefill time ahead of an event that makes it late for its caller: a part of the
   * longest pause, as the steps of the engine and the network take the rest.
   */
  double stallMs() {
    return STALL_PAUSE_SHARE * longMs / LONG_PAUSE_SHARE;
  }

  PromptClass classOf(double prefillMs) {
    if (prefillMs < shortMs) {
      return PromptClass.SHORT;
    }
    return prefillMs <= longMs ? PromptClass.LONG : PromptClass.BULK;
  }
}
