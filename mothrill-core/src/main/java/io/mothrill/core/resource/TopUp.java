package io.mothrill.core.resource;

/**
 * A payment into a budget.
 *
 * @param id the id of the payment; a payment with a known id is not credited again
 * @param tokens the number of tokens paid for
 */
public record TopUp(String id, long tokens) {}
