package io.mothrill.wire.forward;

import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What the connections of callers share; any thread may use it. */
final class EdgeState {

  /** When to come back if requests take too much memory: most are answered within this time. */
  static final long MEMORY_RETRY_MS = 500;

  /** When to come back if the instance leaves: another one, or its next process, is there then. */
  static final long LEAVING_RETRY_MS = 1_000;

  /** How long an unused connection stays while the instance leaves: a request may be on its way. */
  static final long LEAVING_IDLE_MS = 1_500;

  private final long maxKeptBytes;
  private final AtomicLong keptBytes = new AtomicLong();
  private final AtomicInteger underWayCount = new AtomicInteger();
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean leaving;
  private volatile boolean refusing;

  EdgeState(long maxKeptBytes) {
    this.maxKeptBytes = maxKeptBytes;
  }

  boolean tryKeep(int bytes) {
    if (keptBytes.addAndGet(bytes) <= maxKeptBytes) {
      return true;
    }
    keptBytes.addAndGet(-bytes);
    return false;
  }

  void release(int bytes) {
    keptBytes.addAndGet(-bytes);
  }

  void onOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void onClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  void onStarted() {
    underWayCount.incrementAndGet();
  }

  void onEnded() {
    underWayCount.decrementAndGet();
  }

  int underWayCount() {
    return underWayCount.get();
  }

  Collection<CallerConnection> connections() {
    return connections;
  }

  void leave() {
    leaving = true;
  }

  void refuse() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  boolean isLeaving() {
    return leaving;
  }
}
