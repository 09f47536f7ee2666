package io.mothrill.daemon.settings;

import io.mothrill.core.node.NodeSettings;
import io.mothrill.wire.caller.CallerLimits;
import io.mothrill.wire.http.Address;

/**
 * The settings of an entry instance.
 *
 * @param id the name of the instance, which a replacement takes over
 * @param domain the failure domain
 * @param host the IP address to listen on
 * @param ports the TCP ports to listen on
 * @param platform the address of the platform
 * @param platformTimeoutMs how long to wait for the platform
 * @param node the settings of the node
 * @param callers the resource limits of one caller connection
 */
public record InstanceSettings(
    String id,
    String domain,
    String host,
    Ports ports,
    Address platform,
    long platformTimeoutMs,
    NodeSettings node,
    CallerLimits callers) {

  /**
   * TCP ports; 0 for any.
   *
   * @param caller for callers
   * @param operator for operators
   * @param ops for probes and metrics
   * @param peer for other instances
   */
  public record Ports(int caller, int operator, int ops, int peer) {}
}
