package io.mothrill.core.forward.permit;

/**
 * A limit on the requests that an upstream gets from all instances together.
 *
 * @param maxRequests the maximum number of requests in any window
 * @param windowMs the length of the window
 * @param ageMs the time since the limit was last confirmed
 * @param takeoverDelayMs how long an instance waits after becoming a sender, so that requests that
 *     others sent before are outside the window
 */
public record RateLimit(int maxRequests, long windowMs, long ageMs, long takeoverDelayMs) {}
