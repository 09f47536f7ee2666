package io.mothrill.core.forward.overload;

import io.mothrill.core.forward.check.SendChecks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import org.tinylog.Logger;

/**
 * Orders the received requests of one event loop that wait to be started; confined to that loop.
 *
 * <p>Requests start in the order of their arrival as long as the event loop keeps up. A process
 * that has just started finds its sockets full of requests, though, and a third of a core starts
 * only some dozens a second. In order of arrival each of them would be started when its caller is
 * about to give up, and all of them would be late. While the event loop is behind, the most urgent
 * and newest requests start first, and requests that cannot be answered in time are rejected at
 * once.
 *
 * <pre>{@code
 * queue.add(request, nowMs);
 * StartSlice<Request> slice = queue.take(nowMs);
 * queue.putBack(slice.starts().subList(started, slice.starts().size()));
 * }</pre>
 *
 * @param <T> the type of the requests
 */
public final class StartQueue<T extends PendingStart> {

  /**
   * Time from reading a request to starting it above which the event loop is behind. Most of the
   * target latency of the fastest requests, somewhat above 100 ms, is then left for the upstream.
   */
  private static final long MAX_START_DELAY_MS = 50;

  /** Share of the newest measurement in the average time for one start. */
  private static final double NEWEST_SHARE = 0.3;

  /** Minimum Retry-After: another instance, to which callers return, is reached in less. */
  private static final long MIN_RETRY_AFTER_MS = 100;

  /** Maximum Retry-After: a process that has just started keeps up after a few seconds. */
  private static final long MAX_RETRY_AFTER_MS = 2_000;

  private final Deque<Waiting<T>> waiting = new ArrayDeque<>();
  private List<Waiting<T>> taken = List.of();
  private long takenMs;
  private int startedCount;
  private double msPerStart;
  private boolean behind;
  private long rejectedCount;
  private long droppedCount;

  private record Waiting<T>(T request, long addedMs) {}

  private record Ranked<T extends PendingStart>(Waiting<T> waiting, PendingStart.Terms terms) {

    long receivedMs() {
      return waiting.request().receivedMs();
    }
  }

  /**
   * Adds a request that has been read completely.
   *
   * @param request the request
   * @param nowMs the current time
   */
  public void add(T request, long nowMs) {
    waiting.addLast(new Waiting<>(request, nowMs));
  }

  /**
   * Returns the number of requests that wait.
   *
   * @return a count
   */
  public int size() {
    return waiting.size();
  }

  /**
   * Takes all waiting requests out of the queue. Requests whose callers have disconnected are
   * dropped.
   *
   * @param nowMs the current time
   * @return which to start and which to reject
   */
  public StartSlice<T> take(long nowMs) {
    measure(nowMs);
    List<Waiting<T>> connected =
        waiting.stream().filter(entry -> entry.request().isCallerConnected()).toList();
    droppedCount += waiting.size() - connected.size();
    updateBehind(connected, nowMs);
    waiting.clear();
    return behind ? newestFirst(connected, nowMs) : inOrder(connected);
  }

  /**
   * Returns requests to the queue for which the time did not suffice.
   *
   * @param notStarted the last requests of the slice, in its order
   */
  public void putBack(List<T> notStarted) {
    startedCount = taken.size() - notStarted.size();
    taken.subList(startedCount, taken.size()).forEach(waiting::addLast);
  }

  /** Measures how long each start took, including what else the event loop did meanwhile. */
  private void measure(long nowMs) {
    if (behind && startedCount > 0) {
      double newest = (nowMs - takenMs) / (double) startedCount;
      msPerStart = msPerStart == 0 ? newest : msPerStart + NEWEST_SHARE * (newest - msPerStart);
    }
    takenMs = nowMs;
    startedCount = 0;
  }

  private void updateBehind(List<Waiting<T>> connected, long nowMs) {
    long longestMs = connected.stream().mapToLong(entry -> nowMs - entry.addedMs()).max().orElse(0);
    boolean was = behind;
    behind = longestMs > MAX_START_DELAY_MS;
    if (behind && !was) {
      Logger.info("requests wait to be started count={} longestMs={}", connected.size(), longestMs);
    } else if (was && !behind) {
      Logger.info("requests start at once again rejected={} left={}", rejectedCount, droppedCount);
      msPerStart = 0;
    }
  }

  private StartSlice<T> inOrder(List<Waiting<T>> connected) {
    taken = connected;
    startedCount = taken.size();
    return new StartSlice<>(connected.stream().map(Waiting::request).toList(), List.of());
  }

  private StartSlice<T> newestFirst(List<Waiting<T>> connected, long nowMs) {
    List<Ranked<T>> ranked =
        connected.stream()
            .map(entry -> new Ranked<>(entry, entry.request().startTerms()))
            .sorted(
                Comparator.comparingInt((Ranked<T> entry) -> entry.terms().urgency())
                    .thenComparing(Ranked::receivedMs, Comparator.reverseOrder()))
            .toList();
    List<Waiting<T>> starts = new ArrayList<>();
    List<StartSlice.Rejected<T>> rejections = new ArrayList<>();
    for (Ranked<T> entry : ranked) {
      double startMs = nowMs + starts.size() * msPerStart;
      if (startMs + SendChecks.MIN_REMAINING_MS > entry.terms().deadlineMs()) {
        rejections.add(new StartSlice.Rejected<>(entry.waiting().request(), retryAfterMs(ranked)));
      } else {
        starts.add(entry.waiting());
      }
    }
    rejectedCount += rejections.size();
    taken = starts;
    startedCount = taken.size();
    return new StartSlice<>(starts.stream().map(Waiting::request).toList(), rejections);
  }

  private long retryAfterMs(List<Ranked<T>> ranked) {
    long backlogMs = Math.round(ranked.size() * msPerStart);
    return Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, backlogMs));
  }
}
