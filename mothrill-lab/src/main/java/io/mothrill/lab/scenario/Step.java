package io.mothrill.lab.scenario;

import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a scenario: a command, its words and its options.
 *
 * <pre>{@code
 * call konya-1 name=c1 service=asistan tokens=40 unrepeatable
 * }</pre>
 *
 * @param line the line number, from 1
 * @param command the first word
 * @param words the other words that are not options
 * @param options the options, written {@code name=value}
 */
public record Step(int line, String command, List<String> words, Map<String, String> options) {

  private static final Pattern DURATION = Pattern.compile("(\\d+)(ms|s|m|h)");
  private static final Map<String, Long> UNITS_MS =
      Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L);

  /**
   * Parses a line.
   *
   * @param line the line number
   * @param text the line
   * @return the step, or empty if the line is blank or a comment
   */
  public static Optional<Step> parse(int line, String text) {
    String code = text.replaceFirst("#.*", "").trim();
    if (code.isEmpty()) {
      return Optional.empty();
    }
    List<String> all = Arrays.asList(code.split("\\s+", -1));
    List<String> words = new ArrayList<>();
    Map<String, String> options = new LinkedHashMap<>();
    for (String word : all.subList(1, all.size())) {
      int equals = word.indexOf('=');
      boolean comparison = word.startsWith("=") || word.startsWith(">") || word.startsWith("<");
      if (equals > 0 && !comparison) {
        options.put(word.substring(0, equals), word.substring(equals + 1));
      } else {
        words.add(word);
      }
    }
    return Optional.of(new Step(line, all.get(0), List.copyOf(words), Map.copyOf(options)));
  }

  /**
   * Returns a word.
   *
   * @param index the index of the word after the command, from 0
   * @return the word
   */
  public String word(int index) {
    if (index >= words.size()) {
      throw invalid("needs " + (index + 1) + " words behind it");
    }
    return words.get(index);
  }

  /**
   * Checks whether the step contains a word.
   *
   * @param word the word
   * @return true if it does
   */
  public boolean hasWord(String word) {
    return words.contains(word);
  }

  /**
   * Returns the value of a required option.
   *
   * @param name the option
   * @return its value
   */
  public String option(String name) {
    return Optional.ofNullable(options.get(name)).orElseThrow(() -> invalid("needs " + name + "="));
  }

  /**
   * Returns the value of an option, or a default.
   *
   * @param name the option
   * @param fallback the default value
   * @return its value
   */
  public String option(String name, String fallback) {
    return options.getOrDefault(name, fallback);
  }

  /**
   * Returns the value of an option that is a whole number, or a default.
   *
   * @param name the option
   * @param fallback the default value
   * @return its value
   */
  public long number(String name, long fallback) {
    return options.containsKey(name) ? parseNumber(options.get(name)) : fallback;
  }

  /**
   * Parses a whole number.
   *
   * @param text the number
   * @return its value
   */
  public long parseNumber(String text) {
    try {
      return Long.parseLong(text.replace("_", ""));
    } catch (NumberFormatException ex) {
      throw invalid(text + " is not a whole number");
    }
  }

  /**
   * Returns the value of an option that is a duration, or a default.
   *
   * @param name the option
   * @param fallbackMs the default value
   * @return the duration in milliseconds
   */
  public long durationMs(String name, long fallbackMs) {
    return options.containsKey(name) ? parseDurationMs(options.get(name)) : fallbackMs;
  }

  /**
   * Parses a duration.
   *
   * @param text for example {@code 250ms}, {@code 5s}, {@code 10m} or {@code 1h}
   * @return the duration in milliseconds
   */
  public long parseDurationMs(String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches()) {
      throw invalid(text + " is not a duration such as 250ms, 5s, 10m or 1h");
    }
    return Long.parseLong(matcher.group(1)) * UNITS_MS.get(matcher.group(2));
  }

  /**
   * Creates the error for an invalid step.
   *
   * @param reason the reason
   * @return the error, which names the line
   */
  public InvalidInputException invalid(String reason) {
    return InvalidInputException.of(
        FieldError.refused("line " + line, "'" + command + "' " + reason));
  }
}
