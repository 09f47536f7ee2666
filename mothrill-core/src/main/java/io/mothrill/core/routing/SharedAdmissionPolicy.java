package io.mothrill.core.routing;

/** One window for both classes: the baseline that the split window is measured against. */
public final class SharedAdmissionPolicy implements AdmissionPolicy {

  @Override
  public boolean admits(UpstreamState upstream, AdmissionClass admissionClass, long nowMs) {
    return upstream.inFlight() < upstream.spec().slots();
  }
}
