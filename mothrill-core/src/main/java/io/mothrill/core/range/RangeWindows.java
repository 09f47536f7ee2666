package io.mothrill.core.range;

/**
 * How long what was decided in a range is remembered.
 *
 * @param answerMs how long an answer is kept for retries
 * @param decisionMs how long it is remembered which run of a key counts
 */
public record RangeWindows(long answerMs, long decisionMs) {}
