package io.mothrill.core.forward.stream;

/**
 * What brought the first event of a stream.
 *
 * @param service the service
 * @param version the version of its software; empty if its upstreams do not report one
 */
public record StreamOrigin(String service, String version) {}
