package io.mothrill.core.routing;

/** Decides whether one more call of a class may be sent to an upstream. */
public interface AdmissionPolicy {

  /**
   * Checks whether the upstream has a free slot for a call of the given class.
   *
   * @param upstream the upstream
   * @param admissionClass the class of the call
   * @param nowMs the current time of the timer service, in milliseconds
   * @return true when the call may be sent now
   */
  boolean admits(UpstreamState upstream, AdmissionClass admissionClass, long nowMs);
}
