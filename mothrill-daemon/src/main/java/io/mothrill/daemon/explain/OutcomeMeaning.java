package io.mothrill.daemon.explain;

import java.util.Map;

/** Explains the outcomes of requests in the log, for support of callers. */
final class OutcomeMeaning {

  private static final Map<String, String> MEANINGS =
      Map.ofEntries(
          Map.entry("served", "it was answered whole and in time"),
          Map.entry(
              "served_late",
              "it was answered whole, but its first byte came after the time hoped for: see"
                  + " 'unread' and 'under way' of the upstream that it was offered to"),
          Map.entry(
              "budget_spent",
              "the team's budget did not cover it; a read of the whole table showed that"),
          Map.entry(
              "tokens_elsewhere",
              "the team has tokens, but they could not be used by this instance in time: they lie"
                  + " at other instances, or open only as its contact with the store stays away"),
          Map.entry("no_upstream", "no upstream of the service was left to offer it to"),
          Map.entry("all_full", "every upstream that it was offered to was full; it did not run"),
          Map.entry(
              "over_limit",
              "the service was full, and the instance had as many requests there as it may; it did"
                  + " not run"),
          Map.entry(
              "over_share",
              "the service was full, and the team already used its share of it; it did not run"),
          Map.entry(
              "crashes_upstreams",
              "upstreams ended under requests with the same team, method, host, path and body; this"
                  + " one did not run, and none like it is sent to any upstream for now"),
          Map.entry(
              "upstream_failed",
              "an upstream had it and failed; it may have run, so it was not sent again"),
          Map.entry(
              "broken",
              "its stream broke in the middle: the upstream stopped, and the route does not let"
                  + " another one go on"),
          Map.entry("timed_out", "it reached an upstream and got no answer within its time"),
          Map.entry("timeout", "its stream was still going on when its time was over"),
          Map.entry("not_sent_in_time", "its time was over before an upstream could take it"),
          Map.entry("caller_gone", "its caller closed the connection before the end"),
          Map.entry("upstream_error", "an upstream answered it with an error of its own"),
          Map.entry("leaving", "the instance was leaving; it did not run"),
          Map.entry("no_plan", "the instance had just started and knew no plan yet"),
          Map.entry("no_route", "no route of the plan in force has its host and path"),
          Map.entry("unknown_key", "no team of the plan in force holds its key"));

  private OutcomeMeaning() {}

  static String of(String outcome) {
    return MEANINGS.getOrDefault(outcome, MEANINGS.getOrDefault(withoutLate(outcome), outcome));
  }

  private static String withoutLate(String outcome) {
    return outcome.endsWith("_late")
        ? outcome.substring(0, outcome.length() - "_late".length())
        : outcome;
  }
}
