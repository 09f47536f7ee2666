package io.mothrill.core.routing;

/**
 * Shares all slots between both classes. It is the baseline against which {@link
 * SplitAdmissionPolicy} is compared.
 */
public final class SharedAdmissionPolicy implements AdmissionPolicy {

  @Override
  public boolean admits(UpstreamState upstream, AdmissionClass admissionClass, long nowMs) {
    return upstream.inFlight() < upstream.spec().slots();
  }
}
