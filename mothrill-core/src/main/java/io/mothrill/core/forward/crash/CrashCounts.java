package io.mothrill.core.forward.crash;

/**
 * Counters of this instance about requests under which upstreams crashed.
 *
 * @param suspects requests under which one or two upstreams crashed
 * @param quarantined requests that are sent to no upstream
 * @param sent messages sent to other instances
 * @param received messages received from other instances
 * @param dropped requests evicted because the limit was reached
 */
public record CrashCounts(
    long suspects, long quarantined, long sent, long received, long dropped) {}
