package io.mothrill.core.forward.request;

import java.util.List;

/**
 * The properties of a request's prompt.
 *
 * @param model the requested model
 * @param inputTokens the number of tokens in the prompt
 * @param maxOutputTokens the maximum number of tokens in the answer
 * @param parts the parts of the prompt in order; requests may share a prefix of them
 */
public record Prompt(String model, long inputTokens, long maxOutputTokens, List<Part> parts) {

  /** Copies the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * One part of a prompt.
   *
   * @param id equal for parts with equal text and equal preceding parts
   * @param tokens the number of tokens
   */
  public record Part(String id, long tokens) {}

  /**
   * Returns the maximum cost of the request.
   *
   * @return the tokens of the prompt and of the longest answer
   */
  public long maxTokens() {
    return inputTokens + maxOutputTokens;
  }

  /**
   * Checks whether requests may share a prefix of this prompt.
   *
   * @return false if it consists of a single part
   */
  public boolean hasSharedPrefix() {
    return parts.size() > 1;
  }

  /**
   * Returns the ids of the parts that other requests may share.
   *
   * @return all but the last one, which belongs to a session or to the request itself
   */
  public List<String> sharedPartIds() {
    return parts.stream().limit(Math.max(0, parts.size() - 1)).map(Part::id).toList();
  }

  /**
   * Returns the id of the prefix that requests of one session or subject share.
   *
   * @return the id of the last shared part, or of the first part if there is only one
   */
  public String sharedPrefixId() {
    if (parts.isEmpty()) {
      return "";
    }
    return parts.get(Math.max(0, parts.size() - 2)).id();
  }
}
