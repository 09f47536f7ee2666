package io.mothrill.core.forward.crash;

/**
 * What an instance knows of requests under which upstreams crashed, in counts.
 *
 * @param suspects requests under which one or two upstreams ended
 * @param quarantined requests that no upstream gets
 * @param sent messages to other instances
 * @param received messages of other instances
 * @param dropped requests that were forgotten for lack of room
 */
public record CrashCounts(
    long suspects, long quarantined, long sent, long received, long dropped) {}
