package io.mothrill.lab.load;

/**
 * A call to a model whose answer is checked.
 *
 * @param team the team
 * @param key the team's key
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the output limit
 * @param streamed whether the answer is streamed
 * @param priority {@code urgent}, {@code batch}, or empty for the default of the service
 * @param idempotencyKey the idempotency key; empty for none
 */
public record Call(
    String team,
    String key,
    String model,
    String prompt,
    int maxTokens,
    boolean streamed,
    String priority,
    String idempotencyKey) {}
