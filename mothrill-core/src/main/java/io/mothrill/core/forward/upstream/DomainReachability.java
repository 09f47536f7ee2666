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
 * Which failure domains this instance reaches, as the other instances there show.
 *
 * <p>Failure: a domain is cut off, and its upstreams still stand in the list. Symptom: each of them
 * gets requests until one has been silent for three times its aim; what may run only once is lost
 * with it. Another instance in that domain answers within milliseconds if the way is open, so a
 * silence of half a second that is confirmed by a question shows the cut. Upstreams there are then
 * taken only when there are no others.
 *
 * <p>Whatever comes from a domain shows that the way there is open: notices of its instances, and
 * events of streams and answers of its upstreams. Questions are asked only of domains from which
 * nothing has come, and only while requests are to be placed: an instance of a large fleet serves
 * few, and asked every domain all the time it would spend a quarter of its event loop's time on
 * that. A refused connection is an answer too.
 */
public final class DomainReachability {

  /** How often silence is looked for: a part of the half second that it takes to matter. */
  private static final long CHECK_INTERVAL_MS = 200;

  /** Silence after which a domain is asked: some times the pause between notices under load. */
  private static final long SILENCE_MS = 400;

  /** Tens of round trips between failure domains. */
  private static final long PROBE_TIMEOUT_MS = 250;

  /** Asked at the same time, as a single instance may just be restarted. */
  private static final int PROBED_INSTANCES = 2;

  /** Questions go on for so long after a request was placed; the next one mostly comes in it. */
  private static final long IN_USE_MS = 1_000;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<String, Domain> domains = new ConcurrentHashMap<>();
  private volatile Peers peers = new Peers(List.of(), Map.of(), Map.of());
  private volatile long lastUsedMs = Long.MIN_VALUE / 2;

  /**
   * Creates the watch and begins.
   *
   * @param self this instance
   * @param others the others that are there
   * @param links reaches them
   * @param timers the time
   */
  public DomainReachability(
      InstanceRecord self, Supplier<List<InstanceRecord>> others, PeerLinks links, Timers timers) {
    this.self = self;
    this.others = others;
    this.links = links;
    this.timers = timers;
    timers.every(CHECK_INTERVAL_MS, this::check);
  }

  /** What is known of the way to one domain. */
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
   * The other instances, worked out once for as long as they stay the same.
   *
   * @param instances all of them
   * @param probedByDomain those of each other domain in the order in which this instance asks them,
   *     an order of its own: few connections serve all its questions, and all instances together
   *     ask everyone about as often
   * @param domainByHost the domain of each by its IP address
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
   * Notes that something came from an instance.
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
   * Notes that something came from a domain, be it from an upstream there.
   *
   * @param domain the domain
   */
  public void onMessageFromDomain(String domain) {
    if (!domain.equals(self.domain())) {
      markReachable(domain);
    }
  }

  /**
   * Says whether the way to a domain is open.
   *
   * @param domain the domain
   * @return false once silence was confirmed; true where nobody is there to ask
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
    Map<String, List<InstanceRecord>> askedByDomain = peers().probedByDomain();
    domains.keySet().retainAll(askedByDomain.keySet());
    askedByDomain.forEach(this::check);
  }

  private void check(String name, List<InstanceRecord> instances) {
    Domain domain = domains.computeIfAbsent(name, unused -> new Domain(timers.nowMs()));
    if (domain.probing || timers.nowMs() - domain.lastHeardMs < SILENCE_MS) {
      return;
    }
    domain.probing = true;
    long askedMs = timers.nowMs();
    int first = Math.floorMod(domain.silentRounds * PROBED_INSTANCES, instances.size());
    CompletableFuture<?>[] answers =
        IntStream.range(first, first + Math.min(PROBED_INSTANCES, instances.size()))
            .mapToObj(place -> probe(instances.get(place % instances.size()), name))
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(answers).thenRun(() -> onProbesDone(name, domain, askedMs));
  }

  private CompletableFuture<Void> probe(InstanceRecord instance, String domain) {
    return links
        .ask(instance, new PeerMessage.Heartbeat(self, 0), PROBE_TIMEOUT_MS)
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
      Logger.info("domain reached again domain={}", name);
    }
  }

  private void onProbesDone(String name, Domain domain, long askedMs) {
    domain.probing = false;
    if (domain.lastHeardMs >= askedMs) {
      return;
    }
    domain.silentRounds++;
    if (!domain.cutOff) {
      domain.cutOff = true;
      Logger.warn(
          "domain out of reach domain={} silentMs={}", name, timers.nowMs() - domain.lastHeardMs);
    }
  }
}
