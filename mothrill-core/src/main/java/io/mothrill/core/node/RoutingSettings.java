package io.mothrill.core.node;

/**
 * Settings of the selection of upstreams.
 *
 * @param urgentOnlyShare the share of slots that batch calls may not take
 * @param batchOnlyShare the share of slots that urgent calls may not take
 * @param loadFadeMs the age at which a load report has no weight any more
 * @param compared the number of upstreams that are compared
 */
public record RoutingSettings(
    double urgentOnlyShare, double batchOnlyShare, long loadFadeMs, int compared) {

  /**
   * Returns the default settings for both deployments.
   *
   * @return shares of thirty and ten per cent, two seconds, two upstreams compared
   */
  public static RoutingSettings standard() {
    return new RoutingSettings(0.3, 0.1, 2_000, 2);
  }
}
