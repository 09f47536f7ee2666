package io.mothrill.core.forward.upstream;

/** Tells other instances which upstreams have long prompts to read; a lost notice does no harm. */
@FunctionalInterface
public interface PromptNotices {

  /**
   * Tells that a prompt was sent.
   *
   * @param upstreamId the upstream that reads it
   * @param unreadTokens what it probably has to read
   */
  void announce(String upstreamId, long unreadTokens);
}
