package io.mothrill.core.peer;

import io.mothrill.core.platform.InstanceRecord;
import java.util.concurrent.CompletableFuture;

/** Sends requests to other instances. */
public interface PeerLinks {

  /**
   * Sends a request and waits for its reply.
   *
   * @param peer the instance
   * @param request the request
   * @param timeoutMs the longest time to wait for the reply
   * @return the reply; fails with {@link io.mothrill.core.peer.error.PeerException}
   */
  CompletableFuture<PeerMessage> request(InstanceRecord peer, PeerMessage request, long timeoutMs);
}
