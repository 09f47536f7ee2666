package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;
import java.util.concurrent.atomic.AtomicBoolean;

/** A slot at an upstream, held by one call until it is released. */
public final class Assignment {

  private final UpstreamState upstream;
  private final Priority priority;
  private final Runnable afterRelease;
  private final AtomicBoolean released = new AtomicBoolean();

  Assignment(UpstreamState upstream, Priority priority, Runnable afterRelease) {
    this.upstream = upstream;
    this.priority = priority;
    this.afterRelease = afterRelease;
    upstream.beginCall(priority);
  }

  /**
   * Returns the upstream.
   *
   * @return the upstream that the call goes to
   */
  public UpstreamState upstream() {
    return upstream;
  }

  /** Releases the slot. Calling it more than once has no effect. */
  public void release() {
    if (released.compareAndSet(false, true)) {
      upstream.endCall(priority);
      afterRelease.run();
    }
  }
}
