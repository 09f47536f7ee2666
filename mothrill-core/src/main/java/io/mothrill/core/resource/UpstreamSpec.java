package io.mothrill.core.resource;

/**
 * A back end of a service.
 *
 * @param service the service's name
 * @param host an IP address
 * @param port a TCP port
 * @param domain the failure domain it runs in
 * @param slots the number of calls it serves concurrently
 * @param leaving true when it must get no new requests
 */
public record UpstreamSpec(
    String service, String host, int port, String domain, int slots, boolean leaving)
    implements Spec {

  @Override
  public ResourceKind kind() {
    return ResourceKind.UPSTREAM;
  }
}
