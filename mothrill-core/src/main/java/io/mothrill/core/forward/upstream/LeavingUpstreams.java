package io.mothrill.core.forward.upstream;

import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Knows which upstreams have said in an answer that they leave, to this instance or another one.
 *
 * <p>That is newer than the list, which is read from a store that may be silent. A process that
 * leaves never takes requests again.
 */
public final class LeavingUpstreams {

  /**
   * An entry of the list can lapse while the store is out of reach, and be back as it was before:
   * the leave is remembered for longer than such an outage.
   */
  private static final long RETENTION_MS = 600_000;

  private final Timers timers;
  private final Map<String, Leave> leaves = new ConcurrentHashMap<>();

  /** When it was heard of, and the requests sent since. */
  private record Leave(long heardMs, AtomicLong sentCount) {}

  /**
   * Creates the record; no upstream leaves at first.
   *
   * @param timers the time
   */
  public LeavingUpstreams(Timers timers) {
    this.timers = timers;
  }

  /**
   * Notes that an upstream leaves.
   *
   * @param upstream the upstream
   */
  public void markLeaving(RegisteredUpstream upstream) {
    Leave leave = new Leave(timers.nowMs(), new AtomicLong());
    if (leaves.putIfAbsent(upstream.incarnation(), leave) == null) {
      Logger.info("upstream says that it leaves upstream={}", upstream.incarnation());
    }
  }

  /**
   * Says whether an upstream leaves.
   *
   * @param upstream the upstream
   * @return true when it has said so
   */
  public boolean isLeaving(RegisteredUpstream upstream) {
    return leaves.containsKey(upstream.incarnation());
  }

  /**
   * Counts a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    Leave leave = leaves.get(upstream.incarnation());
    if (leave != null) {
      leave.sentCount().incrementAndGet();
    }
  }

  /**
   * Counts the upstreams that have said so lately.
   *
   * @return a count
   */
  public int leavingCount() {
    return leaves.size();
  }

  /**
   * Counts what these upstreams got from here since.
   *
   * @return requests
   */
  public long sentCount() {
    return leaves.values().stream().mapToLong(leave -> leave.sentCount().get()).sum();
  }

  /**
   * Forgets upstreams that have gone long ago.
   *
   * @param list those that are there
   */
  public void retain(UpstreamList list) {
    long nowMs = timers.nowMs();
    leaves
        .entrySet()
        .removeIf(
            entry ->
                !list.containsIncarnation(entry.getKey())
                    && nowMs - entry.getValue().heardMs() > RETENTION_MS);
  }
}
