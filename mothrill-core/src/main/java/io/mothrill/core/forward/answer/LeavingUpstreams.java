package io.mothrill.core.forward.answer;

import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Knows which upstreams have said in an answer that they leave.
 *
 * <p>That is newer than the list, which is read from a store that may be silent. A process that
 * leaves never takes requests again.
 */
public final class LeavingUpstreams {

  private final Map<String, AtomicLong> sentCounts = new ConcurrentHashMap<>();

  /**
   * Notes that an upstream leaves.
   *
   * @param upstream the upstream
   */
  public void note(ServingUpstream upstream) {
    if (sentCounts.putIfAbsent(upstream.incarnation(), new AtomicLong()) == null) {
      Logger.info("upstream says that it leaves upstream={}", upstream.incarnation());
    }
  }

  /**
   * Says whether an upstream leaves.
   *
   * @param upstream the upstream
   * @return true when it has said so
   */
  public boolean isLeaving(ServingUpstream upstream) {
    return sentCounts.containsKey(upstream.incarnation());
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(ServingUpstream upstream) {
    AtomicLong sentCount = sentCounts.get(upstream.incarnation());
    if (sentCount != null) {
      sentCount.incrementAndGet();
    }
  }

  /**
   * Counts the upstreams that have said so and are still in the list.
   *
   * @return a count
   */
  public int leavingCount() {
    return sentCounts.size();
  }

  /**
   * Counts what these upstreams got from here since.
   *
   * @return requests
   */
  public long sentCount() {
    return sentCounts.values().stream().mapToLong(AtomicLong::get).sum();
  }

  /**
   * Forgets upstreams that have gone.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    sentCounts.keySet().removeIf(incarnation -> !list.containsIncarnation(incarnation));
  }
}
