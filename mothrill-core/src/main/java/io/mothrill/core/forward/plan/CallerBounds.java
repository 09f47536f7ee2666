package io.mothrill.core.forward.plan;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes the longest head of a request
 * @param bodyBytes the longest body
 * @param headerTimeoutMs how long a head may take to arrive
 * @param idleTimeoutMs how long a connection may stay idle
 */
public record CallerBounds(
    int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  private static final CallerBounds STANDARD = new CallerBounds(16_384, 4 << 20, 3_000, 15_000);

  /**
   * Gives the bounds until a plan has said others.
   *
   * @return 16 KiB of head, 4 MiB of body, 3 s for a head and 15 s idle
   */
  public static CallerBounds standard() {
    return STANDARD;
  }
}
