package io.mothrill.core.forward.prompt;

import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

/**
 * Divides the engines of each service among the classes of prompts, in proportion to the prefill
 * time that each class takes.
 *
 * <p>Every instance orders the engines of a failure domain alike and divides them by what it sees.
 * Instances that see somewhat different shares disagree only about engines next to a boundary.
 */
public final class EnginePools {

  private static final long UPDATE_INTERVAL_MS = 1_000;

  private final PrefixCacheEstimator prefixCache;
  private final IntSupplier instanceCount;
  private final Timers timers;
  private final Map<String, PoolDivision> divisions = new ConcurrentHashMap<>();
  private final AtomicLong changeCount = new AtomicLong();

  /**
   * Creates the pools; no service is divided until its demand is known.
   *
   * @param prefixCache determines the preferred engines of prefixes
   * @param instanceCount the number of instances whose notices reach this one, including itself
   * @param timers the timer service
   */
  public EnginePools(PrefixCacheEstimator prefixCache, IntSupplier instanceCount, Timers timers) {
    this.prefixCache = prefixCache;
    this.instanceCount = instanceCount;
    this.timers = timers;
    timers.every(UPDATE_INTERVAL_MS, this::update);
  }

  private void update() {
    long changed =
        divisions.values().stream()
            .filter(division -> division.update(timers.nowMs(), instanceCount.getAsInt()))
            .count();
    changeCount.addAndGet(changed);
  }

  private PoolDivision divisionOf(String service) {
    PoolDivision known = divisions.get(service);
    return known == null
        ? divisions.computeIfAbsent(
            service, name -> new PoolDivision(name, prefixCache, timers.nowMs()))
        : known;
  }

  /**
   * Called when this instance has sent a prompt.
   *
   * @param service the service
   * @param promptClass the class of the prompt
   * @param uncachedTokens the number of tokens to prefill
   * @param prefillMs the time that this takes
   */
  public void onSent(
      String service, PromptClass promptClass, double uncachedTokens, double prefillMs) {
    divisionOf(service).demand().onSent(promptClass, uncachedTokens, prefillMs);
  }

  /**
   * Called when a prompt of this instance has ended at its engine.
   *
   * @param service the service
   * @param promptClass the class of the prompt
   * @param heldMs for how long it held a slot
   */
  public void onEnded(String service, PromptClass promptClass, double heldMs) {
    divisionOf(service).demand().onEnded(promptClass, heldMs);
  }

  /**
   * Called when another instance has sent a prompt.
   *
   * @param service the service
   * @param promptClass the class by the number of tokens to prefill
   * @param uncachedTokens the number of tokens to prefill
   * @param prefillMs the time that this takes
   */
  public void onNotice(
      String service, PromptClass promptClass, double uncachedTokens, double prefillMs) {
    divisionOf(service).demand().onNotice(promptClass, uncachedTokens, prefillMs);
  }

  /** Returns the current division of a service. */
  ServicePools poolsOf(String service, List<RegisteredUpstream> engines) {
    return divisionOf(service).poolsOf(engines);
  }

  /**
   * Counts the engines that are reserved for a class, over all services.
   *
   * @param promptClass the class
   * @return the number of engines; 0 while there are no pools
   */
  public int engineCount(PromptClass promptClass) {
    return divisions.values().stream()
        .mapToInt(division -> division.current().engineCount(promptClass))
        .sum();
  }

  /**
   * Counts how often boundaries between pools were moved.
   *
   * @return the number of changes since the start
   */
  public long changeCount() {
    return changeCount.get();
  }
}
