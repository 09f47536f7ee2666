package io.mothrill.core.forward.buffer;

import io.mothrill.core.time.Timers;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that an instance holds for callers and upstreams that read slowly; thread-safe.
 *
 * <pre>{@code
 * BufferBudget budget = new BufferBudget(20 << 20, 15 << 20, timers);
 * ConnectionBuffer unsent = budget.newBuffer();
 * SourcePause pause = budget.newPause(unsent, eventLoop, this::abort);
 * }</pre>
 *
 * <p>Bodies of requests have a limit of their own: the memory that callers fill by sending must not
 * depend on how fast others read. Everything else counts towards one total: responses that are
 * being collected, and bytes that are written to a connection but not yet sent.
 *
 * <p>The limit of a connection is an eighth of the bytes that are still free, at most 1 MB. It
 * therefore shrinks as the memory fills up, and readers that keep up always find some left. A
 * reader that reaches its limit pauses its source. A source that stays paused is aborted, sooner if
 * others need the memory.
 */
public final class BufferBudget {

  /** The maximum pause of a source while others need the memory. */
  public static final long SCARCE_PAUSE_MS = 2_500;

  /** The maximum pause of a source in any case; upstreams close unread responses after seconds. */
  public static final long MAX_PAUSE_MS = 5_000;

  private static final long CONNECTION_BYTES = 1 << 20;

  /** Divisor of the free bytes for the limit of one connection. */
  private static final int CONNECTION_DIVISOR = 8;

  /** Others need the memory when more than this part of it is held. */
  private static final double SCARCE_SHARE = 0.5;

  private static final long CHECK_INTERVAL_MS = 100;

  private final long maxBodyBytes;
  private final long maxHeldBytes;
  private final long maxConnectionBytes;
  private final Timers timers;
  private final AtomicLong bodyBytes = new AtomicLong();
  private final AtomicLong heldBytes = new AtomicLong();
  private final AtomicBoolean checking = new AtomicBoolean();
  private final AtomicLong abortedCount = new AtomicLong();
  private final Set<SourcePause> paused = ConcurrentHashMap.newKeySet();

  /**
   * Creates a budget; paused sources are checked periodically while there are any.
   *
   * @param maxBodyBytes the maximum bytes of request bodies
   * @param maxHeldBytes the maximum bytes of everything else
   * @param timers the clock and timers
   */
  public BufferBudget(long maxBodyBytes, long maxHeldBytes, Timers timers) {
    this.maxBodyBytes = maxBodyBytes;
    this.maxHeldBytes = maxHeldBytes;
    this.maxConnectionBytes = Math.min(CONNECTION_BYTES, maxHeldBytes / CONNECTION_DIVISOR);
    this.timers = timers;
  }

  /**
   * Reserves memory for a part of a request body.
   *
   * @param bytes its length
   * @return false if the memory for bodies or for responses is used up
   */
  public boolean tryReserveBody(long bytes) {
    if (heldBytes.get() >= maxHeldBytes) {
      return false;
    }
    if (bodyBytes.addAndGet(bytes) <= maxBodyBytes) {
      return true;
    }
    bodyBytes.addAndGet(-bytes);
    return false;
  }

  /**
   * Releases memory of a request body.
   *
   * @param bytes the reserved bytes
   */
  public void releaseBody(long bytes) {
    bodyBytes.addAndGet(-bytes);
  }

  /**
   * Creates the empty buffer of a connection.
   *
   * @return the buffer
   */
  public ConnectionBuffer newBuffer() {
    return new ConnectionBuffer(this);
  }

  /**
   * Creates the state of a source that is not paused.
   *
   * @param buffer the buffer that the source fills
   * @param executor the executor of the connection
   * @param abort aborts the source and frees the buffer
   * @return the state
   */
  public SourcePause newPause(ConnectionBuffer buffer, Executor executor, Runnable abort) {
    return new SourcePause(this, buffer, executor, abort);
  }

  /**
   * Returns how much may be held for one connection at most.
   *
   * @return the bytes, while enough memory is free
   */
  public long maxConnectionBytes() {
    return maxConnectionBytes;
  }

  /**
   * Returns how much may be held for one connection now.
   *
   * @return the bytes
   */
  public long connectionLimitBytes() {
    long freeBytes = Math.max(0, maxHeldBytes - heldBytes.get());
    return Math.min(maxConnectionBytes, freeBytes / CONNECTION_DIVISOR);
  }

  private void checkLater() {
    if (checking.compareAndSet(false, true)) {
      timers.after(CHECK_INTERVAL_MS, this::abortOverdue);
    }
  }

  /** Aborts the sources that have been paused for too long, those paused longest first. */
  private void abortOverdue() {
    checking.set(false);
    if (paused.isEmpty()) {
      return;
    }
    checkLater();
    long nowMs = timers.nowMs();
    List<SourcePause> overdue =
        paused.stream()
            .filter(source -> source.pausedMs(nowMs) >= SCARCE_PAUSE_MS)
            .sorted(Comparator.comparingLong((SourcePause source) -> -source.pausedMs(nowMs)))
            .toList();
    long scarceBytes = (long) (maxHeldBytes * SCARCE_SHARE);
    long remainingBytes = heldBytes.get();
    for (SourcePause source : overdue) {
      if (source.pausedMs(nowMs) >= MAX_PAUSE_MS || remainingBytes > scarceBytes) {
        remainingBytes -= source.heldBytes();
        source.abort();
      }
    }
  }

  long nowMs() {
    return timers.nowMs();
  }

  void addHeld(long bytes) {
    heldBytes.addAndGet(bytes);
  }

  void onPaused(SourcePause source) {
    paused.add(source);
    checkLater();
  }

  void onResumed(SourcePause source) {
    paused.remove(source);
  }

  void onAborted() {
    abortedCount.incrementAndGet();
  }

  /**
   * Returns the bytes of request bodies.
   *
   * @return the bytes
   */
  public long bodyBytes() {
    return bodyBytes.get();
  }

  /**
   * Returns the bytes held for slow readers: collected responses and unsent bytes.
   *
   * @return the bytes
   */
  public long heldBytes() {
    return heldBytes.get();
  }

  /**
   * Returns the number of sources that are paused now.
   *
   * @return a count
   */
  public int pausedCount() {
    return paused.size();
  }

  /**
   * Returns how many sources have been aborted since the start.
   *
   * @return a count
   */
  public long abortedCount() {
    return abortedCount.get();
  }
}
