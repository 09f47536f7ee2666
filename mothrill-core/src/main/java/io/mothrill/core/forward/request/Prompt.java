package io.mothrill.core.forward.request;

import java.util.List;

/**
 * What a request says of its prompt.
 *
 * @param model the model that it asks for
 * @param inputTokens the tokens of the prompt
 * @param maxOutputTokens the most that the answer may have
 * @param parts the parts of the prompt in order; requests may share the first ones
 */
public record Prompt(String model, long inputTokens, long maxOutputTokens, List<Part> parts) {

  /** Takes a copy of the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * One part of a prompt.
   *
   * @param id equal for equal text behind equal parts
   * @param tokens its length
   */
  public record Part(String id, long tokens) {}

  /**
   * Gives the most that the request can cost.
   *
   * @return the tokens of the prompt and of the longest answer
   */
  public long maxTokens() {
    return inputTokens + maxOutputTokens;
  }

  /**
   * Gives the part that requests of one session or subject share.
   *
   * @return the last shared part's id; the first part's when there is only one
   */
  public String sharedPrefixId() {
    if (parts.isEmpty()) {
      return "";
    }
    return parts.get(Math.max(0, parts.size() - 2)).id();
  }
}
