package io.mothrill.core.upstream;

/**
 * The tokens that an upstream used for a call.
 *
 * @param promptTokens the tokens of the prompt
 * @param outputTokens the tokens of the response so far
 */
public record Usage(long promptTokens, long outputTokens) {

  /** No tokens used. */
  public static final Usage NONE = new Usage(0, 0);

  /**
   * Returns the sum of prompt and output tokens.
   *
   * @return the tokens
   */
  public long totalTokens() {
    return promptTokens + outputTokens;
  }
}
