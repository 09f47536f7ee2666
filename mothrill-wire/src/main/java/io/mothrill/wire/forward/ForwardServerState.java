package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.BufferBudget;
import io.mothrill.core.forward.request.ForwardRefusal;
import io.mothrill.core.forward.request.ForwardRefusal.Cause;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** State shared by all caller connections; thread-safe. */
final class ForwardServerState {

  /**
   * Retry-After when buffered requests take too much memory: most are answered within this time.
   */
  private static final long MEMORY_RETRY_AFTER_MS = 500;

  /**
   * Retry-After while the instance drains: another instance, or its next process, is available
   * then.
   */
  static final long DRAINING_RETRY_AFTER_MS = 1_000;

  /**
   * How long an idle connection is kept open while draining, as a request may already be on its
   * way.
   */
  static final long DRAINING_IDLE_TIMEOUT_MS = 1_500;

  static final ForwardRefusal OUT_OF_MEMORY =
      ForwardRefusal.retryAfter(Cause.OUT_OF_MEMORY, MEMORY_RETRY_AFTER_MS);

  static final ForwardRefusal LEAVING =
      ForwardRefusal.retryAfter(Cause.LEAVING, DRAINING_RETRY_AFTER_MS);

  private final BufferBudget buffers;
  private final AtomicInteger inFlightCount = new AtomicInteger();
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private final LeaveEnd leaveEnd = new LeaveEnd();
  private volatile boolean draining;
  private volatile boolean refusing;

  ForwardServerState(BufferBudget buffers) {
    this.buffers = buffers;
  }

  boolean tryReserveBytes(int bytes) {
    return buffers.tryReserveBody(bytes);
  }

  void releaseBytes(int bytes) {
    buffers.releaseBody(bytes);
  }

  void onConnectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void onConnectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  void onRequestStarted() {
    inFlightCount.incrementAndGet();
  }

  void onRequestEnded() {
    inFlightCount.decrementAndGet();
  }

  int inFlightCount() {
    return inFlightCount.get();
  }

  Collection<CallerConnection> connections() {
    return connections;
  }

  void startDraining(long endMs) {
    leaveEnd.set(endMs);
    draining = true;
  }

  LeaveEnd leaveEnd() {
    return leaveEnd;
  }

  void refuseNew() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  boolean isDraining() {
    return draining;
  }
}
