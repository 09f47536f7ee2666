package io.mothrill.lab.experiment;

/** The conditions under which budgets are spent. */
enum Situation {
  /** No faults and large budgets. */
  STEADY,
  /** 90% of the calls arrive at one instance. */
  SKEW,
  /** The budgets run out; only calls made while less than 5% is left are counted. */
  LAST_TOKENS,
  /** One failure domain is partitioned for an hour, with a top-up after half an hour. */
  PARTITION,
  /** One of six instances crashes and is replaced after a minute. */
  CRASH
}
