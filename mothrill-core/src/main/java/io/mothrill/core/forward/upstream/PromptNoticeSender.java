package io.mothrill.core.forward.upstream;

/** Notifies other instances of long prompts sent to upstreams; a lost notice does no harm. */
@FunctionalInterface
public interface PromptNoticeSender {

  /**
   * Sends a notice about a prompt.
   *
   * @param incarnation the incarnation of the upstream that reads it
   * @param uncachedTokens the estimated number of tokens to prefill
   */
  void send(String incarnation, long uncachedTokens);
}
