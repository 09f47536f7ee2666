package io.mothrill.core.forward.upstream;

import io.mothrill.core.forward.plan.RegionRestriction;
import io.mothrill.core.forward.request.Prompt;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * The request that an upstream is selected for.
 *
 * @param service the target service
 * @param targetLatencyMs the target time to the answer, or to the first event of a stream
 * @param prompt the properties of its prompt; empty for plain requests
 * @param regionRestriction the regions in which it may be processed
 * @param requiredVersion the version to which the request may be sent; empty if any may answer
 * @param tried the incarnations of upstreams already tried
 * @param eligibility the state of the request that determines whether it may still be sent
 */
public record UpstreamQuery(
    String service,
    long targetLatencyMs,
    Optional<Prompt> prompt,
    RegionRestriction regionRestriction,
    Optional<String> requiredVersion,
    Set<String> tried,
    Eligibility eligibility) {

  /**
   * Creates a query for a request that any version may answer.
   *
   * @param service the target service
   * @param targetLatencyMs the target time to the answer, or to the first event of a stream
   * @param prompt the properties of its prompt; empty for plain requests
   * @param regionRestriction the regions in which it may be processed
   * @param tried the incarnations of upstreams already tried
   * @param eligibility the state of the request that determines whether it may still be sent
   */
  public UpstreamQuery(
      String service,
      long targetLatencyMs,
      Optional<Prompt> prompt,
      RegionRestriction regionRestriction,
      Set<String> tried,
      Eligibility eligibility) {
    this(service, targetLatencyMs, prompt, regionRestriction, Optional.empty(), tried, eligibility);
  }

  /** Copies the set of tried incarnations. */
  public UpstreamQuery {
    tried = Set.copyOf(tried);
  }

  /**
   * Returns the query for the same request in another state.
   *
   * @param newEligibility the state
   * @return the query
   */
  public UpstreamQuery withEligibility(Eligibility newEligibility) {
    return new UpstreamQuery(
        service,
        targetLatencyMs,
        prompt,
        regionRestriction,
        requiredVersion,
        tried,
        newEligibility);
  }

  /**
   * The state of a request that determines whether it may still be sent, independent of the
   * upstream.
   *
   * @param deadlineMs when its caller must have the answer
   * @param tokensReserved whether tokens are reserved for it, or it needs none
   * @param quarantined whether too many upstreams have crashed under it
   * @param isLeased whether it holds a lease for the upstream that it is sent to
   */
  public record Eligibility(
      long deadlineMs, boolean tokensReserved, BooleanSupplier quarantined, boolean isLeased) {

    /**
     * Creates the state of a request without a lease.
     *
     * @param deadlineMs when its caller must have the answer
     * @param tokensReserved whether tokens are reserved for it, or it needs none
     * @param quarantined whether too many upstreams have crashed under it
     */
    public Eligibility(long deadlineMs, boolean tokensReserved, BooleanSupplier quarantined) {
      this(deadlineMs, tokensReserved, quarantined, false);
    }

    /**
     * Returns the state of the same request with a lease.
     *
     * @param leased whether it holds a lease
     * @return the state
     */
    public Eligibility withLease(boolean leased) {
      return new Eligibility(deadlineMs, tokensReserved, quarantined, leased);
    }

    /**
     * Returns the state of a request that may be sent without restriction.
     *
     * @return tokens reserved, no deadline and not quarantined
     */
    public static Eligibility unrestricted() {
      return new Eligibility(Long.MAX_VALUE, true, () -> false);
    }
  }
}
