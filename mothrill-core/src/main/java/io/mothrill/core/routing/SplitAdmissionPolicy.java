package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;

/**
 * Reserves a share of the slots of every upstream for urgent calls, and a smaller share for batch
 * calls.
 *
 * <p>Without the reserved slots, long batch calls fill all slots and an urgent call waits until one
 * of them ends. A batch call that has waited too long may use one of the slots reserved for urgent
 * calls, so that it completes. It is only one slot per upstream, because many aged batch calls
 * would otherwise displace the urgent calls.
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
   * @param fadeMs the age at which a load report has no weight any more
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

  /**
   * Returns the slots that a class may use. It is at least one, so that an upstream with a single
   * slot serves both classes.
   */
  private static int usableSlots(UpstreamState upstream, double reservedShare) {
    int slots = upstream.spec().slots();
    return Math.max(1, slots - (int) Math.ceil(slots * reservedShare));
  }
}
