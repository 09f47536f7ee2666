package io.mothrill.core.budget;

/**
 * What one request owes to one allotment.
 *
 * @param allotment the allotment whose tokens it used
 * @param tokens how many
 */
public record BillPart(AllotmentId allotment, long tokens) {}
