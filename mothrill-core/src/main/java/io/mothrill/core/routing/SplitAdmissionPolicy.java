package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;

/**
 * Keeps part of every upstream free of long calls, and a small part for them alone.
 *
 * <p>Failure: long reviews fill all slots. Symptom: an urgent call waits until one of them ends.
 * Slots that no long call may take let an urgent one start at once. A long call that has waited too
 * long may take one such slot per upstream, so that it completes, and no more than one, so that
 * many old long calls cannot push out the urgent ones.
 */
public final class SplitAdmissionPolicy implements AdmissionPolicy {

  private final double urgentOnlyShare;
  private final double batchOnlyShare;
  private final long fadeMs;

  /**
   * Creates the policy.
   *
   * @param urgentOnlyShare the share of slots that batch calls may not take
   * @param batchOnlyShare the share of slots that urgent calls may not take
   * @param fadeMs the age at which a load report counts for nothing
   */
  public SplitAdmissionPolicy(double urgentOnlyShare, double batchOnlyShare, long fadeMs) {
    this.urgentOnlyShare = urgentOnlyShare;
    this.batchOnlyShare = batchOnlyShare;
    this.fadeMs = fadeMs;
  }

  @Override
  public boolean admits(UpstreamState upstream, AdmissionClass admissionClass, long nowMs) {
    if (upstream.inFlight() >= upstream.spec().slots()) {
      return false;
    }
    return admissionClass == AdmissionClass.URGENT
        ? upstream.inFlight(Priority.URGENT) < usableSlots(upstream, batchOnlyShare)
        : batchLoad(upstream, nowMs) < batchLimit(upstream, admissionClass);
  }

  private int batchLimit(UpstreamState upstream, AdmissionClass admissionClass) {
    int extra = admissionClass == AdmissionClass.AGED_BATCH ? 1 : 0;
    return usableSlots(upstream, urgentOnlyShare) + extra;
  }

  private double batchLoad(UpstreamState upstream, long nowMs) {
    return upstream.inFlight(Priority.BATCH) + upstream.othersInFlight(nowMs, fadeMs);
  }

  /** Even an upstream with one slot serves both classes. */
  private static int usableSlots(UpstreamState upstream, double reservedShare) {
    int slots = upstream.spec().slots();
    return Math.max(1, slots - (int) Math.ceil(slots * reservedShare));
  }
}
