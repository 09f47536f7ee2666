package io.mothrill.core.forward.upstream;

import io.mothrill.core.error.Failures;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
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
 * <p>Notices of prompts come from every domain many times a second, so that questions are asked
 * only while little goes on. A refused connection is an answer: the way there is open.
 */
public final class DomainReach {

  /** How often silence is looked for: a small part of the half second that it takes to matter. */
  private static final long CHECK_MS = 100;

  /** Silence after which a domain is asked: some times the pause between notices under load. */
  private static final long QUIET_MS = 400;

  /** Tens of round trips between failure domains. */
  private static final long ANSWER_MS = 250;

  /** Asked at the same time, as a single instance may just be restarted. */
  private static final int ASKED = 2;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final PeerLinks links;
  private final Timers timers;
  private final Map<String, Domain> domains = new ConcurrentHashMap<>();

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

    private Domain(long nowMs) {
      this.heardMs = nowMs;
    }
  }

  /**
   * Notes that something came from an instance.
   *
   * @param host its IP address
   */
  public void onHeard(String host) {
    others.get().stream()
        .filter(other -> other.host().equals(host))
        .findFirst()
        .ifPresent(other -> heard(other.domain()));
  }

  /**
   * Says whether the way to a domain is open.
   *
   * @param domain the domain
   * @return false once silence was confirmed; true where nobody is there to ask
   */
  public boolean isOpen(String domain) {
    Domain known = domains.get(domain);
    return known == null || !known.cutOff;
  }

  private void check() {
    Map<String, List<InstanceRecord>> byDomain =
        others.get().stream()
            .filter(other -> !other.domain().equals(self.domain()))
            .collect(Collectors.groupingBy(InstanceRecord::domain));
    domains.keySet().retainAll(byDomain.keySet());
    byDomain.forEach(this::check);
  }

  private void check(String name, List<InstanceRecord> instances) {
    Domain domain = domains.computeIfAbsent(name, unused -> new Domain(timers.nowMs()));
    if (domain.asking || timers.nowMs() - domain.heardMs < QUIET_MS) {
      return;
    }
    domain.asking = true;
    long askedMs = timers.nowMs();
    int first = (int) (askedMs / CHECK_MS % instances.size());
    CompletableFuture<?>[] answers =
        instances.stream()
            .skip(Math.min(first, Math.max(0, instances.size() - ASKED)))
            .limit(ASKED)
            .map(instance -> ask(instance, name))
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
    if (domain.heardMs < askedMs && !domain.cutOff) {
      domain.cutOff = true;
      Logger.warn(
          "domain out of reach domain={} silentMs={}", name, timers.nowMs() - domain.heardMs);
    }
  }
}
