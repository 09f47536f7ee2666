package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.plan.HomeRegions;
import io.mothrill.core.forward.request.Prompt;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * What a choice of an upstream is made for.
 *
 * @param service the service that the request goes to
 * @param aimMs the time to the answer, or to a stream's first event, that callers hope for
 * @param prompt what is known of its prompt; empty for plain requests
 * @param homes the regions in which it may be worked on
 * @param tried the starts of upstreams that it was already offered to
 * @param standing what of the request itself decides whether it may still be sent
 */
public record UpstreamQuery(
    String service,
    long aimMs,
    Optional<Prompt> prompt,
    HomeRegions homes,
    Set<String> tried,
    Standing standing) {

  /** Takes a copy of the names. */
  public UpstreamQuery {
    tried = Set.copyOf(tried);
  }

  /**
   * What of a request decides whether it may still be sent, whatever the upstream.
   *
   * @param endMs when its caller must have the answer
   * @param paid whether tokens are set aside for it, or it needs none
   * @param crashesUpstreams whether too many upstreams have ended under it
   */
  public record Standing(long endMs, boolean paid, BooleanSupplier crashesUpstreams) {

    /**
     * Gives the standing of a request that nothing speaks against.
     *
     * @return paid, without an end, and innocent
     */
    public static Standing sound() {
      return new Standing(Long.MAX_VALUE, true, () -> false);
    }
  }
}
