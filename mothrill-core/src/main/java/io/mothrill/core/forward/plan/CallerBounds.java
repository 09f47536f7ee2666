package io.mothrill.core.forward.plan;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param headerBytes the maximum length of a request head
 * @param bodyBytes the maximum length of a body
 * @param headerTimeoutMs the maximum time until a head has arrived
 * @param idleTimeoutMs the maximum idle time of a connection
 */
public record CallerBounds(
    int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  private static final CallerBounds STANDARD = new CallerBounds(16_384, 4 << 20, 3_000, 15_000);

  /**
   * Returns the limits that apply until a plan has been read.
   *
   * @return 16 KiB of head, 4 MiB of body, 3 s for a head and 15 s idle
   */
  public static CallerBounds standard() {
    return STANDARD;
  }
}
