package io.mothrill.core.request;

/**
 * Identifies a request across its retries.
 *
 * @param team the caller's team
 * @param key the caller's idempotency key, or a generated one
 */
public record RequestKey(String team, String key) {

  @Override
  public String toString() {
    return team + "/" + key;
  }
}
