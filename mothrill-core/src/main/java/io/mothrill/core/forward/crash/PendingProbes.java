package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.time.Timers;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The upstreams of which it is not known yet whether they have crashed under a request or a part of
 * a prompt; thread-safe.
 */
final class PendingProbes {

  /**
   * Maximum time that a request waits for pending probes. The termination of a reachable upstream
   * shows within a round trip; a partitioned one shows nothing for seconds, and a request that
   * waited for it would miss its own deadline.
   */
  private static final long MAX_PROBE_WAIT_MS = 100;

  /**
   * Maximum time if an upstream refuses connections, which only other instances have to confirm.
   * Sending the request then would most likely crash one more upstream.
   */
  private static final long MAX_CONFIRMATION_WAIT_MS = 400;

  private final Predicate<RegisteredUpstream> refusesConnections;
  private final Timers timers;
  private final Map<Fingerprint, List<PendingProbe>> pending = new ConcurrentHashMap<>();

  /** The probe of one upstream, after it has lost the connection of a request. */
  record PendingProbe(RegisteredUpstream upstream, CompletableFuture<Void> done) {}

  PendingProbes(Predicate<RegisteredUpstream> refusesConnections, Timers timers) {
    this.refusesConnections = refusesConnections;
    this.timers = timers;
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  boolean contains(Fingerprint fingerprint) {
    return pending.containsKey(fingerprint);
  }

  PendingProbe begin(Collection<Fingerprint> fingerprints, RegisteredUpstream upstream) {
    PendingProbe probe = new PendingProbe(upstream, new CompletableFuture<>());
    fingerprints.forEach(
        fingerprint ->
            pending.merge(
                fingerprint,
                List.of(probe),
                (before, added) -> Stream.concat(before.stream(), added.stream()).toList()));
    return probe;
  }

  void end(Collection<Fingerprint> fingerprints, PendingProbe probe) {
    fingerprints.forEach(
        fingerprint ->
            pending.computeIfPresent(fingerprint, (key, probes) -> without(probes, probe)));
    probe.done().complete(null);
  }

  private static List<PendingProbe> without(List<PendingProbe> probes, PendingProbe probe) {
    List<PendingProbe> remaining = probes.stream().filter(other -> other != probe).toList();
    return remaining.isEmpty() ? null : remaining;
  }

  /**
   * Waits for the probes if they decide whether a limit is reached.
   *
   * @param crashCount the known crashes
   * @param limit the decisive number of crashes
   */
  CompletableFuture<Void> await(Fingerprint fingerprint, int crashCount, int limit) {
    List<PendingProbe> probes = pending.getOrDefault(fingerprint, List.of());
    // Requests that share a part are lost with the same upstream.
    long upstreams = probes.stream().map(PendingProbe::upstream).distinct().count();
    if (probes.isEmpty() || crashCount + upstreams < limit) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> completion = new CompletableFuture<>();
    CompletableFuture.allOf(
            probes.stream().map(PendingProbe::done).toArray(CompletableFuture[]::new))
        .thenRun(() -> completion.complete(null));
    timers.after(
        MAX_PROBE_WAIT_MS,
        () -> {
          if (probes.stream().noneMatch(this::awaitsConfirmation)) {
            completion.complete(null);
          }
        });
    timers.after(MAX_CONFIRMATION_WAIT_MS, () -> completion.complete(null));
    return completion;
  }

  private boolean awaitsConfirmation(PendingProbe probe) {
    return !probe.done().isDone() && refusesConnections.test(probe.upstream());
  }
}
