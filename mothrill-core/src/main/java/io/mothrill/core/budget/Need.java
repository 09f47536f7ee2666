package io.mothrill.core.budget;

/**
 * What an account lacks.
 *
 * @param budget the budget's name
 * @param needTokens the least that helps the requests that wait
 * @param ratePerSecond tokens spent per second of late
 * @param availableTokens what the account still has
 */
public record Need(String budget, long needTokens, double ratePerSecond, long availableTokens) {}
