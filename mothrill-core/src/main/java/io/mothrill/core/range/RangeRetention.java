package io.mothrill.core.range;

/**
 * The retention of answers and decisions in a range.
 *
 * @param answerMs the time for which an answer is stored for retries
 * @param decisionMs the time for which the decision is stored which run of a key counts
 * @param maxAnswerBytes the maximum total size of stored answers
 */
public record RangeRetention(long answerMs, long decisionMs, long maxAnswerBytes) {}
