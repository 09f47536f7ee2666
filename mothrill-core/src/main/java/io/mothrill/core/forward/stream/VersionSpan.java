package io.mothrill.core.forward.stream;

/**
 * A time in which a list of upstreams had one software version of a service, and no other.
 *
 * @param version the version
 * @param fromMs the begin, on the clock of the store
 * @param untilMs the end, on the clock of the store
 */
public record VersionSpan(String version, long fromMs, long untilMs) {}
