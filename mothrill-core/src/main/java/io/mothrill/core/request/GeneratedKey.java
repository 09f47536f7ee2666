package io.mothrill.core.request;

import java.util.Optional;

/**
 * A request key that an instance generated because the caller sent none.
 *
 * <p>The key contains the incarnation that generated it. No other instance knew the key before the
 * request was in flight, so that incarnation alone decides about it. It needs neither the platform
 * nor a backup for that, and continues to serve unrepeatable requests when it is partitioned from
 * all others.
 */
public final class GeneratedKey {

  private static final String MARK = "~";

  private GeneratedKey() {}

  /**
   * Generates a key.
   *
   * @param incarnation the incarnation that generates it
   * @param requestId the id of the run
   * @return the key
   */
  public static String of(String incarnation, String requestId) {
    return MARK + incarnation + MARK + requestId;
  }

  /**
   * Returns the incarnation that generated a key.
   *
   * @param key the key
   * @return the incarnation, or empty when the caller supplied the key
   */
  public static Optional<String> issuerOf(RequestKey key) {
    int end = key.key().indexOf(MARK, 1);
    boolean generated = key.key().startsWith(MARK) && end > 1;
    return generated ? Optional.of(key.key().substring(1, end)) : Optional.empty();
  }
}
