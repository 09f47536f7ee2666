package io.mothrill.core.forward.admission;

/**
 * A number of requests in flight and its average over about the last half second.
 *
 * <p>An instance of a large fleet has less than one request in flight at a small service, so the
 * number alone would not distinguish a team that sends seven times as much as another.
 */
final class InFlightAverage {

  private int count;
  private double average;
  private long atMs;

  void add(int change, long nowMs) {
    average = averageAt(nowMs);
    atMs = Math.max(atMs, nowMs);
    count += change;
  }

  int count() {
    return count;
  }

  double averageAt(long nowMs) {
    if (nowMs <= atMs) {
      return average;
    }
    double weight = Math.exp(-(nowMs - atMs) / DecayingSum.TIME_CONSTANT_MS);
    return average * weight + count * (1 - weight);
  }
}
