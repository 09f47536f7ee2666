package io.mothrill.core.forward.permit;

/**
 * What an upstream takes from all instances together.
 *
 * @param maxRequests the requests that it may get in any span of the window's length
 * @param windowMs the window
 * @param ageMs how long ago this was heard last
 * @param takeoverDelayMs how long an instance waits that has become one of its senders, so that
 *     what others have sent before is out of the window
 */
public record RateLimit(int maxRequests, long windowMs, long ageMs, long takeoverDelayMs) {}
