package io.mothrill.core.forward.upstream;

/**
 * One start of one upstream, as it has registered itself.
 *
 * @param id differs for every start; an address may pass on to another upstream
 * @param service the service that it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param slots how many requests it works on at once
 * @param leaving true once it must get nothing new
 */
public record ServingUpstream(
    String id, String service, String host, int port, String domain, int slots, boolean leaving) {}
