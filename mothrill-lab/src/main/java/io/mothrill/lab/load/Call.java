package io.mothrill.lab.load;

/**
 * One call of a checking caller.
 *
 * @param team the team
 * @param key the team's key
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the output cap
 * @param streamed whether the answer is streamed
 * @param priority {@code urgent}, {@code batch}, or empty for the service's own
 * @param idempotencyKey the caller's key; empty for none
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
