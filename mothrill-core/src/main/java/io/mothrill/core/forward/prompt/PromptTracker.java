package io.mothrill.core.forward.prompt;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.load.LoadFeatures;
import io.mothrill.core.forward.request.Prompt;
import io.mothrill.core.forward.upstream.PrefillBacklog;
import io.mothrill.core.forward.upstream.PrefixCacheEstimator;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamCondition;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamLoads;
import io.mothrill.core.time.Timers;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Follows the prompts that instances send to engines, for services with decisions under load.
 *
 * <pre>{@code
 * SentPrompt sent = tracker.onSent(upstream, prompt);
 * sent.onFirstEvent(182);
 * sent.onPrefillDone();
 * }</pre>
 */
public final class PromptTracker {

  private final LoadFeatures features;
  private final PublishedValue<UpstreamList> list;
  private final UpstreamLoads loads;
  private final PrefixCacheEstimator prefixCache;
  private final PrefillTimeModel model;
  private final PromptClassifier classifier;
  private final EnginePools pools;
  private final UpstreamCondition condition;
  private final Timers timers;
  private final AtomicLong sentCount = new AtomicLong();

  /**
   * Creates the tracker.
   *
   * @param features determines for which services prompts are followed
   * @param list the registered upstreams
   * @param loads receive the backlog of each engine
   * @param prefixCache estimates which prefixes an engine has cached
   * @param model learns prefill times
   * @param classifier determines the class of prompts
   * @param pools receive the demand
   * @param condition the slowdown of engines, which is no part of the usual prefill time
   * @param timers the clock
   */
  public PromptTracker(
      LoadFeatures features,
      PublishedValue<UpstreamList> list,
      UpstreamLoads loads,
      PrefixCacheEstimator prefixCache,
      PrefillTimeModel model,
      PromptClassifier classifier,
      EnginePools pools,
      UpstreamCondition condition,
      Timers timers) {
    this.features = features;
    this.list = list;
    this.loads = loads;
    this.prefixCache = prefixCache;
    this.model = model;
    this.classifier = classifier;
    this.pools = pools;
    this.condition = condition;
    this.timers = timers;
  }

  /**
   * Called when this instance sends a prompt, before that is recorded in the prefix cache
   * estimator.
   *
   * @param upstream the engine
   * @param prompt the prompt
   * @return receives how the prefill goes on
   */
  public SentPrompt onSent(RegisteredUpstream upstream, Prompt prompt) {
    String service = upstream.service();
    if (!features.isActive(service)) {
      return SentPrompt.UNTRACKED;
    }
    sentCount.incrementAndGet();
    String incarnation = upstream.incarnation();
    long nowMs = timers.nowMs();
    long uncachedTokens = prefixCache.uncachedTokens(prompt, incarnation, nowMs);
    boolean lengthKnown = prefixCache.isUncachedPartKnown(prompt, incarnation, nowMs);
    double prefillMs = model.prefillMs(service, uncachedTokens);
    PromptClass promptClass = classifier.classOf(service, prompt.inputTokens());
    pools.onSent(service, promptClass, uncachedTokens, prefillMs);
    PrefillBacklog backlog = loads.of(incarnation).prefillBacklog();
    long pendingMs = Math.round(prefillMs);
    backlog.onSent(pendingMs);
    return new SentPrompt() {
      @Override
      public void onFirstEvent(long tookMs) {
        if (lengthKnown) {
          double slowdown = condition.slowdown(incarnation, timers.nowMs());
          model.onFirstEvent(service, uncachedTokens, tookMs / slowdown);
        }
      }

      @Override
      public void onPrefillDone() {
        backlog.onPrefillDone(pendingMs);
      }

      @Override
      public void onEnded(long heldMs) {
        pools.onEnded(service, promptClass, heldMs);
      }
    };
  }

  /**
   * Called when another instance has sent a prompt.
   *
   * @param incarnation the incarnation of the engine
   * @param uncachedTokens the number of tokens to prefill, as estimated by the other instance
   */
  public void onNotice(String incarnation, long uncachedTokens) {
    list.read()
        .findIncarnation(incarnation)
        .map(RegisteredUpstream::service)
        .filter(features::isActive)
        .ifPresent(service -> recordNotice(service, incarnation, uncachedTokens));
  }

  /**
   * Counts the prompts that this instance has sent while they were followed.
   *
   * @return the number of prompts since the start
   */
  public long sentCount() {
    return sentCount.get();
  }

  private void recordNotice(String service, String incarnation, long uncachedTokens) {
    double prefillMs = model.prefillMs(service, uncachedTokens);
    PromptClass promptClass = classifier.classOf(service, uncachedTokens);
    pools.onNotice(service, promptClass, uncachedTokens, prefillMs);
    loads.of(incarnation).prefillBacklog().onNotice(prefillMs, timers.nowMs());
  }
}
