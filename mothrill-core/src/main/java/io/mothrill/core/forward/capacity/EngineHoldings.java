package io.mothrill.core.forward.capacity;

import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.ToLongFunction;

/**
 * Tracks the tokens that each engine is asked to hold: those of this instance's requests at their
 * maximum, and those of other instances as known from prompt notices and load reports.
 *
 * <pre>{@code
 * HeldTokens held = holdings.onSent(engine, prompt.maxTokens(), uncachedTokens, timers.nowMs());
 * long tokens = holdings.tokens(engine, timers.nowMs());
 * held.end(timers.nowMs());
 * }</pre>
 *
 * <p>Holdings are kept for each incarnation, so an engine that restarts under its id starts with
 * none. Own requests are always counted, since decisions under load may become active while they
 * are in flight. Notices and reports are ignored for services where they are not active.
 */
public final class EngineHoldings {

  private final LoadFeatures features;
  private final Map<String, EngineHolding> engines = new ConcurrentHashMap<>();
  private final Map<String, RequestAverages> services = new ConcurrentHashMap<>();

  /**
   * Creates empty holdings.
   *
   * @param features determines for which services other instances' requests are tracked
   */
  public EngineHoldings(LoadFeatures features) {
    this.features = features;
  }

  /**
   * Called when a request is written to an engine.
   *
   * @param engine the engine
   * @param maxTokens the tokens of its prompt and of the longest answer
   * @param uncachedTokens the tokens to prefill, which other instances learn from a notice
   * @param nowMs the current time
   * @return its tokens, to be returned when it ends
   */
  public HeldTokens onSent(
      RegisteredUpstream engine, long maxTokens, long uncachedTokens, long nowMs) {
    EngineHolding holding = holdingOf(engine);
    RequestAverages averages = averagesOf(engine.service());
    averages.onSent(maxTokens, uncachedTokens);
    return new OwnRequest(holding, averages, maxTokens, holding.onSent(maxTokens, nowMs), nowMs);
  }

  /**
   * Called when another instance has sent a prompt to an engine.
   *
   * <p>The notice names only the tokens to prefill. The request is assumed to hold in addition what
   * this instance's requests to the service hold on average beyond theirs, for as long as they take
   * at engines that hold as much.
   *
   * @param engine the engine
   * @param uncachedTokens the number of tokens to prefill
   * @param nowMs the current time
   */
  public void onNotice(RegisteredUpstream engine, long uncachedTokens, long nowMs) {
    if (features.isActive(engine.service())) {
      RequestAverages averages = averagesOf(engine.service());
      holdingOf(engine)
          .onNotice(uncachedTokens + Math.round(averages.tokensBeyondNotice()), averages, nowMs);
    }
  }

  /**
   * Called when an engine has reported its load.
   *
   * @param engine the engine
   * @param running the number of requests it is running
   * @param queued the number of requests queued at it
   * @param nowMs the current time
   */
  public void onReport(RegisteredUpstream engine, int running, int queued, long nowMs) {
    if (features.isActive(engine.service())) {
      holdingOf(engine).onReport(running + queued, averagesOf(engine.service()), nowMs);
    }
  }

  /**
   * Returns the tokens that an engine is known to hold or to have been asked to hold.
   *
   * @param engine the engine
   * @param nowMs the current time
   * @return the tokens of the requests of all instances
   */
  public long tokens(RegisteredUpstream engine, long nowMs) {
    EngineHolding holding = engines.get(engine.incarnation());
    return holding == null ? 0 : holding.tokens(nowMs);
  }

  /**
   * Removes engines that have been replaced, or that are no longer registered and have no requests
   * of this instance in flight.
   *
   * @param list the registered upstreams
   */
  public void retain(UpstreamList list) {
    engines
        .entrySet()
        .removeIf(
            entry ->
                list.isReplaced(entry.getKey())
                    || !list.containsIncarnation(entry.getKey()) && !entry.getValue().hasOwn());
  }

  /**
   * Returns the tokens of this instance's requests.
   *
   * @return the sum over all engines
   */
  public long ownTokens() {
    return sum(EngineHolding::ownTokens);
  }

  /**
   * Returns the tokens that other instances' requests are assumed to hold.
   *
   * @param nowMs the current time
   * @return the sum over all engines
   */
  public long othersTokens(long nowMs) {
    return sum(holding -> holding.othersTokens(nowMs));
  }

  /**
   * Returns the tokens at the engine that is known to hold the most.
   *
   * @param nowMs the current time
   * @return the tokens of the requests of all instances there
   */
  public long maxTokens(long nowMs) {
    return engines.values().stream().mapToLong(holding -> holding.tokens(nowMs)).max().orElse(0);
  }

  private long sum(ToLongFunction<EngineHolding> tokens) {
    return engines.values().stream().mapToLong(tokens).sum();
  }

  private EngineHolding holdingOf(RegisteredUpstream engine) {
    return engines.computeIfAbsent(engine.incarnation(), unused -> new EngineHolding());
  }

  private RequestAverages averagesOf(String service) {
    return services.computeIfAbsent(service, unused -> new RequestAverages());
  }

  private static final class OwnRequest implements HeldTokens {
    private final EngineHolding holding;
    private final RequestAverages averages;
    private final long maxTokens;
    private final long heldTokens;
    private final long sentMs;
    private final AtomicBoolean returned = new AtomicBoolean();

    OwnRequest(
        EngineHolding holding,
        RequestAverages averages,
        long maxTokens,
        long heldTokens,
        long sentMs) {
      this.holding = holding;
      this.averages = averages;
      this.maxTokens = maxTokens;
      this.heldTokens = heldTokens;
      this.sentMs = sentMs;
    }

    @Override
    public void end(long nowMs) {
      if (returned.compareAndSet(false, true)) {
        holding.onEnded(maxTokens);
        averages.onEnded(maxTokens, heldTokens, nowMs - sentMs);
      }
    }

    @Override
    public void release() {
      if (returned.compareAndSet(false, true)) {
        holding.onEnded(maxTokens);
      }
    }
  }
}
