package io.mothrill.lab.fleet;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.peer.PeerDispatcher;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** In-memory links between nodes, with a latency of 1 ms in each direction. */
final class MemoryLinks {

  private static final long ONE_WAY_MS = 1;

  private final ManualTimers timers;
  private final Network network;
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private long sentCount;

  MemoryLinks(ManualTimers timers, Network network) {
    this.timers = timers;
    this.network = network;
  }

  private record Endpoint(Network.Location location, NodeClock clock, PeerDispatcher dispatcher) {}

  void register(String id, Network.Location location, NodeClock clock, PeerDispatcher dispatcher) {
    endpoints.put(id, new Endpoint(location, clock, dispatcher));
  }

  long sentCount() {
    return sentCount;
  }

  /** Returns the links from one node to its peers. */
  PeerLinks linksFrom(Network.Location from, NodeClock clock) {
    return (peer, request, timeoutMs) -> send(from, clock, peer, request, timeoutMs);
  }

  private CompletableFuture<PeerMessage> send(
      Network.Location from,
      NodeClock clock,
      InstanceRecord peer,
      PeerMessage request,
      long timeoutMs) {
    sentCount++;
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    clock.after(
        timeoutMs, () -> reply.completeExceptionally(PeerException.noReply(peer.id(), "timeout")));
    Endpoint to = endpoints.get(peer.id());
    if (to != null && to.clock().isKilled() && network.reaches(from, to.location())) {
      clock.after(
          ONE_WAY_MS,
          () -> reply.completeExceptionally(PeerException.connectionRefused(peer.id())));
    } else if (to != null && network.reaches(from, to.location())) {
      timers.after(ONE_WAY_MS, () -> to.clock().run(() -> serve(from, clock, to, request, reply)));
    }
    return reply;
  }

  private void serve(
      Network.Location from,
      NodeClock clock,
      Endpoint to,
      PeerMessage request,
      CompletableFuture<PeerMessage> reply) {
    var unused =
        to.dispatcher()
            .dispatch(request)
            .thenAccept(
                message -> {
                  if (network.reaches(to.location(), from)) {
                    timers.after(ONE_WAY_MS, () -> clock.run(() -> reply.complete(message)));
                  }
                });
  }
}
