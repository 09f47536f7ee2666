package io.mothrill.core.resource;

/**
 * One payment into a budget.
 *
 * @param id names the payment; a payment with a known id is not added again
 * @param tokens how many tokens were paid for
 */
public record TopUp(String id, long tokens) {}
