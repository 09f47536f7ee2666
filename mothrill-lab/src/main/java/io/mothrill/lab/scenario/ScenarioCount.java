package io.mothrill.lab.scenario;

import java.util.Map;

/**
 * What came of the calls of a load.
 *
 * @param asked how many calls were made
 * @param served how many got a whole answer
 * @param runTwice how many were run more than once
 * @param states how the calls ended, with their numbers
 */
public record ScenarioCount(long asked, long served, long runTwice, Map<String, Long> states) {}
