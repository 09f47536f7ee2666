package io.mothrill.lab.scenario;

import java.util.Map;

/**
 * The outcomes of the calls of a load.
 *
 * @param sent the number of calls sent
 * @param served the number of calls that received a complete answer
 * @param runMoreThanOnce the number of calls that were run more than once
 * @param states the number of calls by final state
 */
public record ScenarioCount(
    long sent, long served, long runMoreThanOnce, Map<String, Long> states) {}
