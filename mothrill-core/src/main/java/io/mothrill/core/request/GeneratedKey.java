package io.mothrill.core.request;

import java.util.Optional;

/**
 * A request key that an instance made for a caller that sent none.
 *
 * <p>It names the incarnation that made it. Nobody else knew the key before the request was under
 * way, so that incarnation alone decides about it: it needs neither the platform nor a backup, and
 * goes on serving unrepeatable requests when it is cut off from everyone.
 */
public final class GeneratedKey {

  private static final String MARK = "~";

  private GeneratedKey() {}

  /**
   * Makes a key.
   *
   * @param incarnation the incarnation that makes it
   * @param requestId the run's id
   * @return the key
   */
  public static String of(String incarnation, String requestId) {
    return MARK + incarnation + MARK + requestId;
  }

  /**
   * Finds out who made a key.
   *
   * @param key the key
   * @return the incarnation, or empty when it is a caller's own key
   */
  public static Optional<String> issuerOf(RequestKey key) {
    int end = key.key().indexOf(MARK, 1);
    boolean minted = key.key().startsWith(MARK) && end > 1;
    return minted ? Optional.of(key.key().substring(1, end)) : Optional.empty();
  }
}
