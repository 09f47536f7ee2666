package io.mothrill.core.forward.upstream;

import io.mothrill.core.time.Subscription;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What this instance knows of one upstream's load and health; any thread may use it. */
public final class UpstreamLoad {

  /** How long a reported load counts: reports are some hundred milliseconds old when they come. */
  private static final long REPORT_DECAY_MS = 1_500;

  /** First time of avoidance after a failure; doubles with each further one. */
  private static final long INITIAL_AVOID_MS = 500;

  /** Longest avoidance, so that an upstream that came back is found within seconds. */
  private static final long MAX_AVOID_MS = 4_000;

  private static final int MAX_DOUBLINGS = 3;

  private final AtomicInteger inFlightCount = new AtomicInteger();
  private final AtomicLong pendingPrefillTokens = new AtomicLong();
  private final AtomicInteger failureStreak = new AtomicInteger();
  private volatile long avoidUntilMs = Long.MIN_VALUE;
  private volatile LoadReport report = new LoadReport(0, 0, Long.MIN_VALUE / 2);

  private final Set<Runnable> replacementListeners = ConcurrentHashMap.newKeySet();

  private volatile PromptBacklog promptBacklog = new PromptBacklog(0, Long.MIN_VALUE / 2);

  private record PromptBacklog(double pendingTokens, long atMs) {

    double remainingAt(long nowMs, double tokensPerMs) {
      return Math.max(0, pendingTokens - tokensPerMs * (nowMs - atMs));
    }
  }

  private record LoadReport(int running, int waiting, long atMs) {}

  /**
   * Counts a request that is sent.
   *
   * @param promptTokens the tokens that the upstream has to read for it
   */
  public void onSent(long promptTokens) {
    inFlightCount.incrementAndGet();
    pendingPrefillTokens.addAndGet(promptTokens);
  }

  /**
   * Notes that a prompt has been read: the first event has come, or the request has ended.
   *
   * @param promptTokens as when it was sent
   */
  public void onPrefillDone(long promptTokens) {
    pendingPrefillTokens.addAndGet(-promptTokens);
  }

  /**
   * Takes notice of a prompt that another instance has sent to the upstream.
   *
   * @param promptTokens the tokens that the upstream has to read for it
   * @param tokensPerMs how fast it reads
   * @param nowMs the time
   */
  public synchronized void onPromptNotice(long promptTokens, double tokensPerMs, long nowMs) {
    promptBacklog =
        new PromptBacklog(promptBacklog.remainingAt(nowMs, tokensPerMs) + promptTokens, nowMs);
  }

  /**
   * Asks to be told when another process has followed this one.
   *
   * <p>Failure: an upstream crashes and starts again under its id and address, and the way to it is
   * silent. Symptom: its callers wait for an answer that nobody works on. They are told with the
   * first list that shows the new process.
   *
   * @param watcher called once at the most, on the thread that reads the list; must not block
   * @return a handle to end with
   */
  public Subscription onReplaced(Runnable watcher) {
    replacementListeners.add(watcher);
    return () -> replacementListeners.remove(watcher);
  }

  /** Tells all who have asked that another process has followed this one. */
  void notifyReplaced() {
    for (Runnable watcher : replacementListeners) {
      if (replacementListeners.remove(watcher)) {
        watcher.run();
      }
    }
  }

  /** Counts a request that has ended. */
  public void onRequestEnded() {
    inFlightCount.decrementAndGet();
  }

  /**
   * Takes what the upstream said of its load.
   *
   * @param running requests that it works on
   * @param waiting requests that wait at it
   * @param nowMs the time
   */
  public void onReport(int running, int waiting, long nowMs) {
    report = new LoadReport(running, waiting, nowMs);
  }

  /** Notes an answer in full: what failed before is over. */
  public void onSuccess() {
    failureStreak.set(0);
  }

  /**
   * Notes a failure: a broken, silent or refused connection, or a false answer.
   *
   * <p>Failure: an upstream that is dead or cut off still stands in the list for seconds. Symptom:
   * every request sent to it is lost or late. It is avoided for a time that doubles, and then tried
   * by single requests again, so that a sound one is not lost for long.
   *
   * @param nowMs the time
   */
  public void onFailure(long nowMs) {
    int streak = failureStreak.incrementAndGet();
    long avoidMs = INITIAL_AVOID_MS << Math.min(MAX_DOUBLINGS, streak - 1);
    avoidUntilMs = Math.max(avoidUntilMs, nowMs + Math.min(MAX_AVOID_MS, avoidMs));
  }

  /**
   * Notes that the upstream was full.
   *
   * @param nowMs the time
   * @param avoidMs how long it is to be avoided
   */
  public void avoidFor(long nowMs, long avoidMs) {
    avoidUntilMs = Math.max(avoidUntilMs, nowMs + avoidMs);
  }

  /**
   * Says whether the upstream is avoided for now.
   *
   * @param nowMs the time
   * @return true after failures
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs;
  }

  /**
   * Gives the own requests under way.
   *
   * @return a count
   */
  public int inFlightCount() {
    return inFlightCount.get();
  }

  /**
   * Estimates the prompt tokens that the upstream still has to read, for all instances.
   *
   * @param tokensPerMs how fast it reads
   * @param nowMs the time
   * @return tokens
   */
  public double pendingPrefillTokens(double tokensPerMs, long nowMs) {
    return pendingPrefillTokens.get() + promptBacklog.remainingAt(nowMs, tokensPerMs);
  }

  /**
   * Estimates all requests at the upstream, those of other instances from its last report.
   *
   * @param nowMs the time
   * @return a count
   */
  public double estimatedCount(long nowMs) {
    LoadReport last = report;
    double weight = Math.max(0, 1 - (nowMs - last.atMs()) / (double) REPORT_DECAY_MS);
    int own = inFlightCount.get();
    return own + weight * Math.max(0, last.running() + last.waiting() - own);
  }

  /**
   * Estimates the requests that wait at the upstream.
   *
   * @param nowMs the time
   * @return a count, fading with the age of the report
   */
  public double estimatedQueued(long nowMs) {
    LoadReport last = report;
    double weight = Math.max(0, 1 - (nowMs - last.atMs()) / (double) REPORT_DECAY_MS);
    return weight * last.waiting();
  }
}
