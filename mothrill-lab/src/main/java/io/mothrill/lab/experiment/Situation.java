package io.mothrill.lab.experiment;

/** What happens while a budget is drawn on. */
enum Situation {
  /** All is well, and the budgets are large. */
  STEADY,
  /** Nine calls in ten come to one instance. */
  SKEW,
  /** The budgets run out; only calls within their last twentieth count. */
  LAST_TOKENS,
  /** One domain is cut off for an hour; a top-up comes in the middle. */
  PARTITION,
  /** One instance of six dies, and is replaced after a minute. */
  CRASH
}
