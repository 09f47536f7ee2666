package io.mothrill.core.forward.upstream;

/** Tells other instances which upstreams have long prompts to read; a lost notice does no harm. */
@FunctionalInterface
public interface PromptNoticeSender {

  /**
   * Tells that a prompt was sent.
   *
   * @param incarnation the start of the upstream that reads it
   * @param unreadTokens what it probably has to read
   */
  void send(String incarnation, long unreadTokens);
}
