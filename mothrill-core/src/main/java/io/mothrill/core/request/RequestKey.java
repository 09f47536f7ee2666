package io.mothrill.core.request;

/**
 * What a caller's retry has in common with its first try.
 *
 * @param team the caller's team
 * @param key the caller's idempotency key, or one that was minted
 */
public record RequestKey(String team, String key) {

  @Override
  public String toString() {
    return team + "/" + key;
  }
}
