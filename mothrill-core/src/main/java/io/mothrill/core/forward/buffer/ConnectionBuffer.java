package io.mothrill.core.forward.buffer;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes held for one connection, counted towards the budget of all connections.
 *
 * <pre>{@code
 * ConnectionBuffer unsent = budget.newBuffer();
 * unsent.add(chunk.length);
 * if (unsent.isFull()) {
 *   pause.start();
 * }
 * }</pre>
 */
public final class ConnectionBuffer {

  /**
   * The minimum length of one read, so that a response makes progress even if the memory is used
   * up. Most events of a stream are shorter.
   */
  private static final int MIN_READ_BYTES = 2 << 10;

  private final BufferBudget budget;
  private final AtomicLong heldBytes = new AtomicLong();

  ConnectionBuffer(BufferBudget budget) {
    this.budget = budget;
  }

  /**
   * Called when bytes are held from now on.
   *
   * @param bytes their number
   */
  public void add(long bytes) {
    heldBytes.addAndGet(bytes);
    budget.addHeld(bytes);
  }

  /**
   * Called when bytes are no longer held.
   *
   * @param bytes their number
   */
  public void remove(long bytes) {
    add(-bytes);
  }

  /**
   * Returns the bytes held for this connection.
   *
   * @return the bytes
   */
  public long heldBytes() {
    return heldBytes.get();
  }

  /**
   * Checks whether the source of the bytes must be paused. A connection for which nothing is held
   * is never full, so that readers that keep up are served even if others use up the memory.
   *
   * @return true if the limit is reached
   */
  public boolean isFull() {
    long held = heldBytes.get();
    return held > 0 && held >= budget.connectionLimitBytes();
  }

  /**
   * Returns how much may be read from the source at once without exceeding the limit. Without it,
   * each of many connections would exceed its limit by a read of 64 KB.
   *
   * @param maxHeldBytes the bytes at which the source is paused, if the limit is not below
   * @return the maximum length of one read
   */
  public int maxReadBytes(int maxHeldBytes) {
    long fittingBytes = Math.min(maxHeldBytes, budget.connectionLimitBytes()) - heldBytes.get();
    return (int) Math.max(MIN_READ_BYTES, fittingBytes);
  }

  /**
   * Checks whether a paused source may resume: at half of the limit, so that it does not pause
   * again after a few bytes.
   *
   * @return true if enough bytes have been read
   */
  public boolean isDrained() {
    return heldBytes.get() <= budget.connectionLimitBytes() / 2;
  }
}
