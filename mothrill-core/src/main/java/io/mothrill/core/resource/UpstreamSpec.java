package io.mothrill.core.resource;

/**
 * A back end of one service.
 *
 * @param service the service's name
 * @param host an IP address
 * @param port a TCP port
 * @param domain the failure domain that it stands in
 * @param slots how many calls it serves at once
 * @param leaving true when it must get nothing new
 */
public record UpstreamSpec(
    String service, String host, int port, String domain, int slots, boolean leaving)
    implements Spec {

  @Override
  public ResourceKind kind() {
    return ResourceKind.UPSTREAM;
  }
}
