package io.mothrill.core.forward.upstream;

import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.Rendezvous;
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
public final class DomainReach {

  /** How often silence is looked for: a part of the half second that it takes to matter. */
  private static final long CHECK_MS = 200;

  /** Silence after which a domain is asked: some times the pause between notices under load. */
  private static final long QUIET_MS = 400;

  /** Tens of round trips between failure domains. */
  private static final long ANSWER_MS = 250;

  /** Asked at the same time, as a single instance may just be restarted. */
  private static final int ASKED = 2;

  /** Questions go on for so long after a request was placed; the next one mostly comes in it. */
  private static final long IN_USE_MS = 1_000;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<String, Domain> domains = new ConcurrentHashMap<>();
  private volatile Neighbours neighbours = new Neighbours(List.of(), Map.of(), Map.of());
  private volatile long usedMs = Long.MIN_VALUE / 2;

  /**
   * Creates the watch and begins.
   *
   * @param self this instance
   * @param others the others that are there
   * @param links reaches them
   * @param timers the time
   */
  public DomainReach(
      InstanceRecord self, Supplier<List<InstanceRecord>> others, PeerLinks links, Timers timers) {
    this.self = self;
    this.others = others;
    this.links = links;
    this.timers = timers;
    timers.every(CHECK_MS, this::check);
  }

  /** What is known of the way to one domain. */
  private static final class Domain {
    private volatile long heardMs;
    private volatile boolean asking;
    private volatile boolean cutOff;
    private volatile int silentRounds;

    private Domain(long nowMs) {
      this.heardMs = nowMs;
    }
  }

  /**
   * The other instances, worked out once for as long as they stay the same.
   *
   * @param instances all of them
   * @param askedByDomain those of each other domain in the order in which this instance asks them,
   *     an order of its own: few connections serve all its questions, and all instances together
   *     ask everyone about as often
   * @param domainByHost the domain of each by its IP address
   */
  private record Neighbours(
      List<InstanceRecord> instances,
      Map<String, List<InstanceRecord>> askedByDomain,
      Map<String, String> domainByHost) {

    static Neighbours of(InstanceRecord self, List<InstanceRecord> others) {
      Map<String, List<InstanceRecord>> byDomain =
          others.stream()
              .filter(other -> !other.domain().equals(self.domain()))
              .collect(Collectors.groupingBy(InstanceRecord::domain));
      byDomain.replaceAll((domain, instances) -> Rendezvous.rank(self.id(), instances));
      return new Neighbours(
          others,
          byDomain,
          others.stream()
              .collect(
                  Collectors.toMap(
                      InstanceRecord::host, InstanceRecord::domain, (one, other) -> one)));
    }
  }

  private Neighbours neighbours() {
    Neighbours known = neighbours;
    List<InstanceRecord> current = others.get();
    if (!known.instances().equals(current)) {
      known = Neighbours.of(self, current);
      neighbours = known;
    }
    return known;
  }

  /**
   * Notes that something came from an instance.
   *
   * @param host its IP address
   */
  public void onHeard(String host) {
    String domain = neighbours.domainByHost().get(host);
    if (domain != null) {
      heard(domain);
    }
  }

  /**
   * Notes that something came from a domain, be it from an upstream there.
   *
   * @param domain the domain
   */
  public void onHeardFrom(String domain) {
    if (!domain.equals(self.domain())) {
      heard(domain);
    }
  }

  /**
   * Says whether the way to a domain is open.
   *
   * @param domain the domain
   * @return false once silence was confirmed; true where nobody is there to ask
   */
  public boolean isOpen(String domain) {
    usedMs = timers.nowMs();
    Domain known = domains.get(domain);
    return known == null || !known.cutOff;
  }

  private void check() {
    if (timers.nowMs() - usedMs > IN_USE_MS) {
      return;
    }
    Map<String, List<InstanceRecord>> askedByDomain = neighbours().askedByDomain();
    domains.keySet().retainAll(askedByDomain.keySet());
    askedByDomain.forEach(this::check);
  }

  private void check(String name, List<InstanceRecord> instances) {
    Domain domain = domains.computeIfAbsent(name, unused -> new Domain(timers.nowMs()));
    if (domain.asking || timers.nowMs() - domain.heardMs < QUIET_MS) {
      return;
    }
    domain.asking = true;
    long askedMs = timers.nowMs();
    int first = Math.floorMod(domain.silentRounds * ASKED, instances.size());
    CompletableFuture<?>[] answers =
        IntStream.range(first, first + Math.min(ASKED, instances.size()))
            .mapToObj(place -> ask(instances.get(place % instances.size()), name))
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(answers).thenRun(() -> conclude(name, domain, askedMs));
  }

  private CompletableFuture<Void> ask(InstanceRecord instance, String domain) {
    return links
        .ask(instance, new PeerMessage.Heartbeat(self, 0), ANSWER_MS)
        .handle(
            (reply, error) -> {
              if (error == null || isRefusal(Failures.unwrap(error))) {
                heard(domain);
              }
              return null;
            });
  }

  private static boolean isRefusal(Throwable error) {
    return error instanceof PeerException peer && peer.isGone();
  }

  private void heard(String name) {
    Domain domain = domains.computeIfAbsent(name, unused -> new Domain(timers.nowMs()));
    domain.heardMs = timers.nowMs();
    if (domain.cutOff) {
      domain.cutOff = false;
      Logger.info("domain reached again domain={}", name);
    }
  }

  private void conclude(String name, Domain domain, long askedMs) {
    domain.asking = false;
    if (domain.heardMs >= askedMs) {
      return;
    }
    domain.silentRounds++;
    if (!domain.cutOff) {
      domain.cutOff = true;
      Logger.warn(
          "domain out of reach domain={} silentMs={}", name, timers.nowMs() - domain.heardMs);
    }
  }
}
