package io.mothrill.core.forward.upstream;

import io.mothrill.core.time.Subscription;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** The load and health of one upstream as known to this instance; thread-safe. */
public final class UpstreamLoad {

  /** How long a load report counts; reports are some hundred milliseconds old when they arrive. */
  private static final long REPORT_DECAY_MS = 1_500;

  /** A report of this age still tells how full the upstream is. */
  private static final long RECENT_REPORT_MS = 500;

  /** Time for which an upstream is avoided after a failure; doubles with each further one. */
  private static final long INITIAL_AVOID_MS = 500;

  /** Maximum time of avoidance, so that a recovered upstream is used again within seconds. */
  private static final long MAX_AVOID_MS = 4_000;

  private static final int MAX_DOUBLINGS = 3;

  private final AtomicInteger inFlightCount = new AtomicInteger();
  private final AtomicLong pendingPrefillTokens = new AtomicLong();
  private final PrefillBacklog prefillBacklog = new PrefillBacklog();
  private final AtomicInteger failureStreak = new AtomicInteger();
  private volatile long avoidUntilMs = Long.MIN_VALUE;
  private volatile long failedUntilMs = Long.MIN_VALUE;
  private volatile LoadReport report = new LoadReport(0, 0, Long.MIN_VALUE / 2);

  private final Set<Runnable> replacementListeners = ConcurrentHashMap.newKeySet();

  private volatile PromptBacklog promptBacklog = new PromptBacklog(0, Long.MIN_VALUE / 2);

  private record PromptBacklog(double pendingTokens, long atMs) {

    double remainingAt(long nowMs, double tokensPerMs) {
      return Math.max(0, pendingTokens - tokensPerMs * (nowMs - atMs));
    }
  }

  private record LoadReport(int running, int queued, long atMs) {}

  /**
   * Called when a request is sent.
   *
   * @param promptTokens the number of tokens to prefill for it
   */
  public void onSent(long promptTokens) {
    inFlightCount.incrementAndGet();
    pendingPrefillTokens.addAndGet(promptTokens);
  }

  /**
   * Called when a prompt has been read: the first event has arrived, or the request has ended.
   *
   * @param promptTokens the value passed when it was sent
   */
  public void onPrefillDone(long promptTokens) {
    pendingPrefillTokens.addAndGet(-promptTokens);
  }

  /**
   * Called when another instance has sent a prompt to the upstream.
   *
   * @param promptTokens the number of tokens to prefill for it
   * @param tokensPerMs the prefill speed
   * @param nowMs the current time
   */
  public synchronized void onPromptNotice(long promptTokens, double tokensPerMs, long nowMs) {
    promptBacklog =
        new PromptBacklog(promptBacklog.remainingAt(nowMs, tokensPerMs) + promptTokens, nowMs);
  }

  /**
   * Returns the backlog in ms, which is counted only where decisions under load are active.
   *
   * @return the backlog
   */
  public PrefillBacklog prefillBacklog() {
    return prefillBacklog;
  }

  /**
   * Registers a listener for the replacement of this process by another one.
   *
   * <p>If an upstream crashes and restarts under its id and address while the connection is
   * stalled, its callers would wait for an answer that will never come. The listener is called with
   * the first list that contains the new process.
   *
   * @param listener called at most once, on the thread that reads the list; must not block
   * @return a handle to remove the listener
   */
  public Subscription onReplaced(Runnable listener) {
    replacementListeners.add(listener);
    return () -> replacementListeners.remove(listener);
  }

  /** Notifies all listeners that another process has replaced this one. */
  void notifyReplaced() {
    for (Runnable listener : replacementListeners) {
      if (replacementListeners.remove(listener)) {
        listener.run();
      }
    }
  }

  /** Called when a request has ended. */
  public void onRequestEnded() {
    inFlightCount.decrementAndGet();
  }

  /**
   * Called when the upstream has reported its load.
   *
   * @param running the number of requests it is running
   * @param queued the number of requests queued at it
   * @param nowMs the current time
   */
  public void onReport(int running, int queued, long nowMs) {
    report = new LoadReport(running, queued, nowMs);
  }

  /**
   * Checks whether the last load report is recent.
   *
   * @param nowMs the current time
   * @return false if the upstream has not reported its load for a while
   */
  public boolean hasRecentReport(long nowMs) {
    return reportAgeMs(nowMs) <= RECENT_REPORT_MS;
  }

  /**
   * Returns the age of the last load report.
   *
   * @param nowMs the current time
   * @return the age, very large if the upstream has never reported its load
   */
  public long reportAgeMs(long nowMs) {
    return nowMs - report.atMs();
  }

  /** Called after a complete answer; resets earlier failures. */
  public void onSuccess() {
    failureStreak.set(0);
  }

  /**
   * Called after a failure: a broken, stalled or refused connection, or an invalid answer.
   *
   * <p>An upstream that has crashed or is partitioned stays in the list for seconds, and every
   * request sent to it is lost or late. It is avoided for a time that doubles with each failure,
   * and then probed with single requests, so that a healthy upstream is not avoided for long.
   *
   * @param nowMs the current time
   */
  public void onFailure(long nowMs) {
    int streak = failureStreak.incrementAndGet();
    long avoidMs = INITIAL_AVOID_MS << Math.min(MAX_DOUBLINGS, streak - 1);
    failedUntilMs = Math.max(failedUntilMs, nowMs + Math.min(MAX_AVOID_MS, avoidMs));
  }

  /** Called when failures turn out not to be the upstream's; it is not avoided for them. */
  public void clearFailures() {
    failureStreak.set(0);
    failedUntilMs = Long.MIN_VALUE;
  }

  /**
   * Avoids the upstream for a time, for example because it is full.
   *
   * @param nowMs the current time
   * @param avoidMs the time to avoid it for
   */
  public void avoidFor(long nowMs, long avoidMs) {
    avoidUntilMs = Math.max(avoidUntilMs, nowMs + avoidMs);
  }

  /**
   * Checks whether the upstream is currently avoided.
   *
   * @param nowMs the current time
   * @return true if it is to be avoided
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < Math.max(avoidUntilMs, failedUntilMs);
  }

  /**
   * Returns the number of this instance's requests in flight.
   *
   * @return the number of requests
   */
  public int inFlightCount() {
    return inFlightCount.get();
  }

  /**
   * Estimates the number of prompt tokens that the upstream still has to prefill, for all
   * instances.
   *
   * @param tokensPerMs the prefill speed
   * @param nowMs the current time
   * @return the number of tokens
   */
  public double pendingPrefillTokens(double tokensPerMs, long nowMs) {
    return pendingPrefillTokens.get() + promptBacklog.remainingAt(nowMs, tokensPerMs);
  }

  /**
   * Estimates the number of requests at the upstream; those of other instances are taken from its
   * last report.
   *
   * @param nowMs the current time
   * @return the number of requests
   */
  public double estimatedCount(long nowMs) {
    LoadReport last = report;
    double weight = Math.max(0, 1 - (nowMs - last.atMs()) / (double) REPORT_DECAY_MS);
    int own = inFlightCount.get();
    return own + weight * Math.max(0, last.running() + last.queued() - own);
  }

  /**
   * Estimates the number of requests queued at the upstream.
   *
   * @param nowMs the current time
   * @return the number of requests, decaying with the age of the report
   */
  public double estimatedQueued(long nowMs) {
    LoadReport last = report;
    double weight = Math.max(0, 1 - (nowMs - last.atMs()) / (double) REPORT_DECAY_MS);
    return weight * last.queued();
  }
}
