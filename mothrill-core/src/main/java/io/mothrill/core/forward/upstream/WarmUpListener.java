package io.mothrill.core.forward.upstream;

/** Gets what shows that an upstream warms up, beside what the list says. */
public interface WarmUpListener {

  /**
   * Notes that the process of an upstream has ended: its port refuses connections.
   *
   * @param upstream the upstream
   */
  void onProcessEnded(RegisteredUpstream upstream);

  /**
   * Notes what an upstream has said itself, which is newer than its word in the list.
   *
   * @param upstream the upstream
   * @param leftMs how much longer it warms up; 0 when it is warm
   */
  void onWarmUpReported(RegisteredUpstream upstream, long leftMs);
}
