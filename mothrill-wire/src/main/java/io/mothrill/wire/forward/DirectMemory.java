package io.mothrill.wire.forward;

import io.netty.util.internal.PlatformDependent;

/** The memory outside of the Java heap, through which everything passes that is sent. */
public final class DirectMemory {

  /**
   * Divisor of the direct memory for unsent bytes. The other half remains for received bytes and
   * for what the allocator cannot use; writing fails without free direct memory.
   */
  private static final int UNSENT_DIVISOR = 2;

  private DirectMemory() {}

  /**
   * Limits the memory for slow readers to what can be held in direct memory.
   *
   * @param maxHeldBytes the memory that the machine has for it
   * @return at most half of the direct memory
   */
  public static long limit(long maxHeldBytes) {
    return Math.min(maxHeldBytes, PlatformDependent.maxDirectMemory() / UNSENT_DIVISOR);
  }
}
