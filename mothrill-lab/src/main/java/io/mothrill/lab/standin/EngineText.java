package io.mothrill.lab.standin;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The text that the engine stand-in makes of a prompt.
 *
 * <p>Each token follows from the prompt and its place alone, so whoever sent the prompt can check
 * that an answer is whole and its own.
 */
public final class EngineText {

  private static final int CHARS_PER_TOKEN = 4;

  private EngineText() {}

  /**
   * Makes one token.
   *
   * @param prompt the prompt
   * @param index the token's place, from 0
   * @return five characters
   */
  public static String token(String prompt, int index) {
    byte[] seed = (prompt + '#' + index).getBytes(StandardCharsets.UTF_8);
    return String.format("%04x ", MurmurHash3.hash32x86(seed) & 0xffff);
  }

  /**
   * Makes a whole answer.
   *
   * @param prompt the prompt
   * @param tokens how many tokens
   * @return the text
   */
  public static String answer(String prompt, int tokens) {
    return IntStream.range(0, tokens)
        .mapToObj(index -> token(prompt, index))
        .collect(Collectors.joining());
  }

  /**
   * Counts the tokens of a prompt.
   *
   * @param prompt the prompt
   * @return tokens
   */
  public static int promptTokens(String prompt) {
    return 1 + prompt.length() / CHARS_PER_TOKEN;
  }
}
