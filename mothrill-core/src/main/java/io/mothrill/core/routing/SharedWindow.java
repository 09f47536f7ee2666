package io.mothrill.core.routing;

/** One window for both classes: the baseline that the split window is measured against. */
public final class SharedWindow implements WindowPolicy {

  @Override
  public boolean admits(UpstreamState upstream, WindowClass windowClass, long nowMs) {
    return upstream.inFlight() < upstream.spec().slots();
  }
}
