package io.mothrill.core.forward.permit;

/**
 * What an upstream takes from all instances together.
 *
 * @param most the requests that it may get in any span of the window's length
 * @param windowMs the window
 */
public record Allowance(int most, long windowMs) {}
