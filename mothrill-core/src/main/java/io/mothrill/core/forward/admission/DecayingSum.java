package io.mothrill.core.forward.admission;

/** A sum over about the last half second: each part decays exponentially with its age. */
final class DecayingSum {

  /**
   * A part counts as 37 percent after this time. With 1,000 ms, teams were still held to their
   * shares for a second after the demand of others had ended.
   */
  static final double TIME_CONSTANT_MS = 500;

  private double sum;
  private long atMs;

  void add(double amount, long nowMs) {
    sum = at(nowMs) + amount;
    atMs = Math.max(atMs, nowMs);
  }

  double at(long nowMs) {
    return nowMs <= atMs ? sum : sum * Math.exp(-(nowMs - atMs) / TIME_CONSTANT_MS);
  }
}
