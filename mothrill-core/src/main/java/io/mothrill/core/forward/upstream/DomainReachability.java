package io.mothrill.core.forward.upstream;

import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tinylog.Logger;

/**
 * Detects which failure domains this instance can reach, with the help of the instances there.
 *
 * <p>The upstreams of a partitioned failure domain are still registered. Each would get requests
 * until one has been silent for three times its target latency, and non-idempotent requests would
 * be lost. An instance in that domain answers within milliseconds if the domain is reachable, so
 * half a second of silence, confirmed by a probe, shows the partition. Upstreams in the domain are
 * then selected only if there are no others.
 *
 * <p>Everything received from a domain shows that it is reachable: notices of its instances, and
 * stream events and answers of its upstreams. Probes are sent only to domains from which nothing
 * was received, and only while requests are being routed: an instance of a large fleet serves few
 * requests, and if it probed every domain all the time, it would spend a quarter of its event
 * loop's time on that. A refused connection counts as an answer too.
 */
public final class DomainReachability {

  /** Interval at which silence is checked; a part of the half second after which it matters. */
  private static final long CHECK_INTERVAL_MS = 200;

  /**
   * Silence after which a domain is probed: several times the interval between notices under load.
   */
  private static final long SILENCE_MS = 400;

  /** Tens of round trips between failure domains. */
  private static final long PROBE_TIMEOUT_MS = 250;

  /** Number of instances probed at the same time, as a single one may be restarting. */
  private static final int PROBED_INSTANCES = 2;

  /**
   * Probing continues for this time after a request was routed; the next one mostly follows within
   * it.
   */
  private static final long IN_USE_MS = 1_000;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<String, Domain> domains = new ConcurrentHashMap<>();
  private volatile Peers peers = new Peers(List.of(), Map.of(), Map.of());
  private volatile long lastUsedMs = Long.MIN_VALUE / 2;

  /**
   * Creates the detector and starts it.
   *
   * @param self this instance
   * @param others the other running instances
   * @param links the connections to them
   * @param timers the clock
   */
  public DomainReachability(
      InstanceRecord self, Supplier<List<InstanceRecord>> others, PeerLinks links, Timers timers) {
    this.self = self;
    this.others = others;
    this.links = links;
    this.timers = timers;
    timers.every(CHECK_INTERVAL_MS, this::check);
  }

  /** The reachability of one failure domain. */
  private static final class Domain {
    private volatile long lastHeardMs;
    private volatile boolean probing;
    private volatile boolean cutOff;
    private volatile int silentRounds;

    private Domain(long nowMs) {
      this.lastHeardMs = nowMs;
    }
  }

  /**
   * The other instances, computed once as long as they do not change.
   *
   * @param instances all other instances
   * @param probedByDomain the instances of each other domain in the order in which this instance
   *     probes them. The order differs between instances: each needs few connections for its
   *     probes, and all instances are probed about equally often
   * @param domainByHost the failure domain of each instance by its IP address
   */
  private record Peers(
      List<InstanceRecord> instances,
      Map<String, List<InstanceRecord>> probedByDomain,
      Map<String, String> domainByHost) {

    static Peers of(InstanceRecord self, List<InstanceRecord> others) {
      Map<String, List<InstanceRecord>> byDomain =
          others.stream()
              .filter(other -> !other.domain().equals(self.domain()))
              .collect(Collectors.groupingBy(InstanceRecord::domain));
      byDomain.replaceAll((domain, instances) -> RendezvousHash.rank(self.id(), instances));
      return new Peers(
          others,
          byDomain,
          others.stream()
              .collect(
                  Collectors.toMap(
                      InstanceRecord::host, InstanceRecord::domain, (one, other) -> one)));
    }
  }

  private Peers peers() {
    Peers known = peers;
    List<InstanceRecord> current = others.get();
    if (!known.instances().equals(current)) {
      known = Peers.of(self, current);
      peers = known;
    }
    return known;
  }

  /**
   * Called when a message of an instance has arrived.
   *
   * @param host its IP address
   */
  public void onMessageFromHost(String host) {
    String domain = peers.domainByHost().get(host);
    if (domain != null) {
      markReachable(domain);
    }
  }

  /**
   * Called when anything has arrived from a failure domain, including from an upstream there.
   *
   * @param domain the failure domain
   */
  public void onMessageFromDomain(String domain) {
    if (!domain.equals(self.domain())) {
      markReachable(domain);
    }
  }

  /**
   * Checks whether a failure domain is reachable.
   *
   * @param domain the failure domain
   * @return false once a probe has confirmed silence; true if there is no instance to probe
   */
  public boolean isReachable(String domain) {
    lastUsedMs = timers.nowMs();
    Domain known = domains.get(domain);
    return known == null || !known.cutOff;
  }

  private void check() {
    if (timers.nowMs() - lastUsedMs > IN_USE_MS) {
      return;
    }
    Map<String, List<InstanceRecord>> probedByDomain = peers().probedByDomain();
    domains.keySet().retainAll(probedByDomain.keySet());
    probedByDomain.forEach(this::check);
  }

  private void check(String name, List<InstanceRecord> instances) {
    Domain domain = domains.computeIfAbsent(name, unused -> new Domain(timers.nowMs()));
    if (domain.probing || timers.nowMs() - domain.lastHeardMs < SILENCE_MS) {
      return;
    }
    domain.probing = true;
    long probedMs = timers.nowMs();
    int first = Math.floorMod(domain.silentRounds * PROBED_INSTANCES, instances.size());
    CompletableFuture<?>[] answers =
        IntStream.range(first, first + Math.min(PROBED_INSTANCES, instances.size()))
            .mapToObj(index -> probe(instances.get(index % instances.size()), name))
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(answers).thenRun(() -> onProbesDone(name, domain, probedMs));
  }

  private CompletableFuture<Void> probe(InstanceRecord instance, String domain) {
    return links
        .request(instance, new PeerMessage.Heartbeat(self, 0), PROBE_TIMEOUT_MS)
        .handle(
            (reply, error) -> {
              if (error == null || isRefusal(Failures.unwrap(error))) {
                markReachable(domain);
              }
              return null;
            });
  }

  private static boolean isRefusal(Throwable error) {
    return error instanceof PeerException peer && peer.isGone();
  }

  private void markReachable(String name) {
    Domain domain = domains.computeIfAbsent(name, unused -> new Domain(timers.nowMs()));
    domain.lastHeardMs = timers.nowMs();
    if (domain.cutOff) {
      domain.cutOff = false;
      Logger.info("failure domain reachable again domain={}", name);
    }
  }

  private void onProbesDone(String name, Domain domain, long probedMs) {
    domain.probing = false;
    if (domain.lastHeardMs >= probedMs) {
      return;
    }
    domain.silentRounds++;
    if (!domain.cutOff) {
      domain.cutOff = true;
      Logger.warn(
          "failure domain unreachable domain={} silentMs={}",
          name,
          timers.nowMs() - domain.lastHeardMs);
    }
  }
}
