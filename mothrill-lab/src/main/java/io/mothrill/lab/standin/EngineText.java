package io.mothrill.lab.standin;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Generates the text with which the engine stand-in answers a prompt.
 *
 * <p>Each token depends only on the prompt and the token's index, so the sender of the prompt can
 * check that an answer is complete and belongs to its request.
 */
public final class EngineText {

  private static final int CHARS_PER_TOKEN = 4;

  private EngineText() {}

  /**
   * Generates one token.
   *
   * @param prompt the prompt
   * @param index the index of the token, from 0
   * @return the token, five characters long
   */
  public static String token(String prompt, int index) {
    byte[] seed = (prompt + '#' + index).getBytes(StandardCharsets.UTF_8);
    return String.format("%04x ", MurmurHash3.hash32x86(seed) & 0xffff);
  }

  /**
   * Generates a complete answer.
   *
   * @param prompt the prompt
   * @param tokens the number of tokens
   * @return the text
   */
  public static String answer(String prompt, int tokens) {
    return IntStream.range(0, tokens)
        .mapToObj(index -> token(prompt, index))
        .collect(Collectors.joining());
  }

  /**
   * Returns the number of tokens of a prompt.
   *
   * @param prompt the prompt
   * @return the number of tokens
   */
  public static int promptTokens(String prompt) {
    return 1 + prompt.length() / CHARS_PER_TOKEN;
  }
}
