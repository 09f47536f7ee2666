package io.mothrill.core.forward.path;

import io.mothrill.core.forward.upstream.RegisteredUpstream;

/** Receives what several instances have found out about an upstream. */
public interface PathListener {

  /**
   * Called when the host of an upstream refuses connections of other instances too.
   *
   * @param upstream the upstream
   */
  void onEnded(RegisteredUpstream upstream);

  /**
   * Called when an upstream answers neither this instance nor those that were asked.
   *
   * @param upstream the upstream
   */
  void onUnreachable(RegisteredUpstream upstream);
}
