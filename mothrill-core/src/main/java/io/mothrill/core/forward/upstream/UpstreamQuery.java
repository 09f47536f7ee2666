package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.plan.AllowedRegions;
import io.mothrill.core.forward.request.Prompt;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * What a choice of an upstream is made for.
 *
 * @param service the service that the request goes to
 * @param targetLatencyMs the time to the answer, or to a stream's first event, that callers hope
 *     for
 * @param prompt what is known of its prompt; empty for plain requests
 * @param allowedRegions the regions in which it may be worked on
 * @param tried the starts of upstreams that it was already offered to
 * @param eligibility what of the request itself decides whether it may still be sent
 */
public record UpstreamQuery(
    String service,
    long targetLatencyMs,
    Optional<Prompt> prompt,
    AllowedRegions allowedRegions,
    Set<String> tried,
    Eligibility eligibility) {

  /** Takes a copy of the names. */
  public UpstreamQuery {
    tried = Set.copyOf(tried);
  }

  /**
   * What of a request decides whether it may still be sent, whatever the upstream.
   *
   * @param deadlineMs when its caller must have the answer
   * @param tokensReserved whether tokens are set aside for it, or it needs none
   * @param quarantined whether too many upstreams have ended under it
   */
  public record Eligibility(long deadlineMs, boolean tokensReserved, BooleanSupplier quarantined) {

    /**
     * Gives the standing of a request that nothing speaks against.
     *
     * @return paid, without an end, and innocent
     */
    public static Eligibility unrestricted() {
      return new Eligibility(Long.MAX_VALUE, true, () -> false);
    }
  }
}
