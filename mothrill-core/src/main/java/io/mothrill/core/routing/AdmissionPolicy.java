package io.mothrill.core.routing;

/** Decides whether an upstream may get one more call of a class. */
public interface AdmissionPolicy {

  /**
   * Looks whether there is room.
   *
   * @param upstream the upstream
   * @param admissionClass what kind of call it is
   * @param nowMs the time
   * @return true when the call may be sent now
   */
  boolean admits(UpstreamState upstream, AdmissionClass admissionClass, long nowMs);
}
