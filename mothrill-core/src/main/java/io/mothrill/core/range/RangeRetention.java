package io.mothrill.core.range;

/**
 * How long what was decided in a range is remembered.
 *
 * @param answerMs how long an answer is kept for retries
 * @param decisionMs how long it is remembered which run of a key counts
 * @param maxAnswerBytes how much all kept answers may take up together
 */
public record RangeRetention(long answerMs, long decisionMs, long maxAnswerBytes) {}
