package io.mothrill.core.forward.path;

import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.peer.PeerLinks;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.peer.RendezvousHash;
import io.mothrill.core.peer.error.PeerException;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Asks other instances whether they reach an upstream that this instance does not.
 *
 * <p>One instance that reaches it shows that the path from here is broken. That it has ended counts
 * as shown only by instances that do not share a cut with this one: instances of this failure
 * domain say nothing about upstreams of others.
 */
public final class PathWitnesses {

  /** A single instance may have lost its own path and not have noticed yet. */
  private static final int ASKED = 3;

  /** Longer than the probe of the instance that is asked. */
  private static final long REPLY_TIMEOUT_MS = 350;

  /**
   * Time for which a refusal waits for an instance that reaches the upstream; both answer within a
   * few round trips.
   */
  private static final long REFUSED_GRACE_MS = 20;

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final PeerLinks links;
  private final Timers timers;

  /**
   * Creates the witnesses.
   *
   * @param self this instance
   * @param others the other running instances
   * @param links the connections to them
   * @param timers the timers
   */
  public PathWitnesses(
      InstanceRecord self, Supplier<List<InstanceRecord>> others, PeerLinks links, Timers timers) {
    this.self = self;
    this.others = others;
    this.links = links;
    this.timers = timers;
  }

  /** The answer of one instance; empty if it no longer runs. */
  private record Testimony(InstanceRecord witness, Optional<PathOutcome> outcome) {}

  /**
   * Asks some instances at the same time.
   *
   * @param upstream the upstream
   * @param own what this instance has observed, which decides if there is no other instance
   * @return what all of them together show about the upstream; never fails
   */
  CompletableFuture<PathOutcome> ask(RegisteredUpstream upstream, PathOutcome own) {
    List<InstanceRecord> running = others.get().stream().filter(other -> !other.leaving()).toList();
    List<CompletableFuture<Testimony>> asked =
        selectFor(upstream, running).stream().map(witness -> ask(witness, upstream)).toList();
    CompletableFuture<PathOutcome> verdict = new CompletableFuture<>();
    asked.forEach(
        reply ->
            reply.thenAccept(
                testimony -> {
                  PathOutcome shown = weigh(testimony, upstream);
                  if (shown == PathOutcome.REACHED) {
                    verdict.complete(shown);
                  } else if (shown == PathOutcome.REFUSED) {
                    timers.after(REFUSED_GRACE_MS, () -> verdict.complete(shown));
                  }
                }));
    CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
        .thenRun(
            () ->
                verdict.complete(
                    judge(own, asked.stream().map(CompletableFuture::join).toList(), upstream)));
    return verdict;
  }

  private CompletableFuture<Testimony> ask(InstanceRecord witness, RegisteredUpstream upstream) {
    return links
        .request(witness, new PeerMessage.CheckPath(upstream.incarnation()), REPLY_TIMEOUT_MS)
        .handle((reply, error) -> new Testimony(witness, outcomeOf(reply, error)));
  }

  /** Prefers instances in the failure domain of the upstream, then those of further ones. */
  private List<InstanceRecord> selectFor(
      RegisteredUpstream upstream, List<InstanceRecord> running) {
    List<InstanceRecord> ranked =
        new ArrayList<>(RendezvousHash.rank(self.id() + upstream.incarnation(), running));
    ranked.sort(Comparator.comparingInt(other -> distanceRank(other, upstream)));
    return ranked.stream().limit(ASKED).toList();
  }

  private int distanceRank(InstanceRecord other, RegisteredUpstream upstream) {
    if (other.domain().equals(upstream.domain())) {
      return 0;
    }
    return other.domain().equals(self.domain()) ? 2 : 1;
  }

  private static Optional<PathOutcome> outcomeOf(PeerMessage reply, Throwable error) {
    if (error != null) {
      return Failures.unwrap(error) instanceof PeerException peer && peer.isGone()
          ? Optional.empty()
          : Optional.of(PathOutcome.UNKNOWN);
    }
    return Optional.of(
        reply instanceof PeerMessage.PathReply path ? path.outcome() : PathOutcome.UNKNOWN);
  }

  private PathOutcome judge(
      PathOutcome own, List<Testimony> testimonies, RegisteredUpstream upstream) {
    List<PathOutcome> outcomes =
        testimonies.stream()
            .filter(testimony -> testimony.outcome().isPresent())
            .map(testimony -> weigh(testimony, upstream))
            .toList();
    if (outcomes.isEmpty()) {
      return own;
    }
    if (outcomes.contains(PathOutcome.REACHED)) {
      return PathOutcome.REACHED;
    }
    boolean refused = outcomes.contains(PathOutcome.REFUSED);
    boolean unreachable = outcomes.contains(PathOutcome.UNREACHABLE);
    if (refused && !unreachable) {
      return PathOutcome.REFUSED;
    }
    return unreachable && !refused && own == PathOutcome.UNREACHABLE
        ? PathOutcome.UNREACHABLE
        : PathOutcome.UNKNOWN;
  }

  private PathOutcome weigh(Testimony testimony, RegisteredUpstream upstream) {
    boolean sharesCuts =
        testimony.witness().domain().equals(self.domain())
            && !upstream.domain().equals(self.domain())
            && others.get().stream().anyMatch(other -> !other.domain().equals(self.domain()));
    PathOutcome outcome = testimony.outcome().orElse(PathOutcome.UNKNOWN);
    return sharesCuts && outcome == PathOutcome.REFUSED ? PathOutcome.UNKNOWN : outcome;
  }
}
