package io.mothrill.core.node;

/**
 * How upstreams are chosen.
 *
 * @param urgentOnlyShare the share of slots that batch calls may not take
 * @param batchOnlyShare the share of slots that urgent calls may not take
 * @param loadFadeMs the age at which a load report counts for nothing
 * @param compared how many upstreams are compared
 */
public record RoutingSettings(
    double urgentOnlyShare, double batchOnlyShare, long loadFadeMs, int compared) {

  /**
   * Gives the settings that suit both deployments.
   *
   * @return thirty and ten per cent, two seconds, two compared
   */
  public static RoutingSettings standard() {
    return new RoutingSettings(0.3, 0.1, 2_000, 2);
  }
}
