package io.mothrill.core.budget;

/**
 * The part of a bill that one request owes to one allotment.
 *
 * @param allotment the allotment whose tokens were used
 * @param tokens the number of tokens
 */
public record BillPart(AllotmentId allotment, long tokens) {}
