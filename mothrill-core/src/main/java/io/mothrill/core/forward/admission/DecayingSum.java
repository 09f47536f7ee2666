package io.mothrill.core.forward.admission;

/** A sum over about the last second: each part decays exponentially with its age. */
final class DecayingSum {

  /** Time constant: a part counts as 37 percent after this time. */
  static final double TIME_CONSTANT_MS = 1_000;

  private double sum;
  private long atMs;

  void add(double amount, long nowMs) {
    sum = at(nowMs) + amount;
    atMs = Math.max(atMs, nowMs);
  }

  /** Returns the sum, which is also the rate per second. */
  double at(long nowMs) {
    return nowMs <= atMs ? sum : sum * Math.exp(-(nowMs - atMs) / TIME_CONSTANT_MS);
  }
}
