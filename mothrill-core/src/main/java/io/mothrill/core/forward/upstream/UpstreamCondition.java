package io.mothrill.core.forward.upstream;

/** What is known about the machine and the queue of an upstream beyond this instance's requests. */
public interface UpstreamCondition {

  /**
   * Returns how much longer work currently takes at an upstream than usual.
   *
   * @param incarnation the incarnation of the upstream
   * @param nowMs the current time
   * @return the factor; 1 if nothing is known
   */
  double slowdown(String incarnation, long nowMs);

  /**
   * Returns how long requests currently wait at an upstream before their own work starts.
   *
   * @param incarnation the incarnation of the upstream
   * @param nowMs the current time
   * @return the observed wait; 0 if nothing is known
   */
  double waitMs(String incarnation, long nowMs);
}
