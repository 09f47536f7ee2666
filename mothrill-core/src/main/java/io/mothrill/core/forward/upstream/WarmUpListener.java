package io.mothrill.core.forward.upstream;

/** Notified of signs of a warm-up that are not in the list. */
public interface WarmUpListener {

  /**
   * Called when the process of an upstream has terminated: its port refuses connections.
   *
   * @param upstream the upstream
   */
  void onProcessEnded(RegisteredUpstream upstream);

  /**
   * Called when an upstream has reported its warm-up itself, which is newer than its registration.
   *
   * @param upstream the upstream
   * @param remainingMs the remaining warm-up time; 0 if it is warm
   */
  void onWarmUpReported(RegisteredUpstream upstream, long remainingMs);
}
