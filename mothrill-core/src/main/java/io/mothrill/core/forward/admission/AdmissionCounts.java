package io.mothrill.core.forward.admission;

/**
 * Counts for gauges.
 *
 * @param limitedServices services with a limit now
 * @param overLimit requests refused because the limit was reached
 * @param overShare requests refused because their team used its share
 * @param turnedAway requests that upstreams have turned away
 */
public record AdmissionCounts(
    long limitedServices, long overLimit, long overShare, long turnedAway) {

  /** No requests. */
  static final AdmissionCounts NONE = new AdmissionCounts(0, 0, 0, 0);

  AdmissionCounts plus(AdmissionCounts other) {
    return new AdmissionCounts(
        limitedServices + other.limitedServices,
        overLimit + other.overLimit,
        overShare + other.overShare,
        turnedAway + other.turnedAway);
  }
}
