package io.mothrill.core.upstream;

/**
 * Tokens that an upstream has used for one call.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens of the answer so far
 */
public record Usage(long promptTokens, long outputTokens) {

  /** Nothing used. */
  public static final Usage NONE = new Usage(0, 0);

  /**
   * Adds up both parts.
   *
   * @return tokens
   */
  public long totalTokens() {
    return promptTokens + outputTokens;
  }
}
