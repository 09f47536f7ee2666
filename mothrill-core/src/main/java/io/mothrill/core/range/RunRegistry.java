package io.mothrill.core.range;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.FinishReply;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The runs of the keys of a range, as known to its owner.
 *
 * <p>A run that was superseded by another one learns this when it ends, and its bill is dropped. A
 * key is therefore billed once, regardless of the number of its runs.
 */
final class RunRegistry {

  private static final long MAX_RUNNING_MS = 3_600_000;

  private final Map<RequestKey, Entry> entries = new ConcurrentHashMap<>();
  private final PublishedValue<Membership> members;
  private final Timers timers;

  RunRegistry(PublishedValue<Membership> members, Timers timers) {
    this.members = members;
    this.timers = timers;
  }

  /** The state of the decision about a key. */
  private enum Phase {
    /** A run is in flight. */
    RUNNING,
    /** A run has ended and the backup has not yet acknowledged that it counts. */
    DECIDING,
    /** The decision that the run counts has been made. */
    DECIDED
  }

  private record Entry(
      ClaimRequest claim, Optional<FinishRequest> finish, Phase phase, boolean posted, long atMs) {

    boolean isRunBy(String requestId) {
      return claim.requestId().equals(requestId);
    }
  }

  /** Returns the verdict on a claim, and records the run when it may run. */
  ClaimReply claim(ClaimRequest claim) {
    ClaimReply[] reply = new ClaimReply[1];
    entries.compute(
        claim.key(),
        (key, held) -> {
          reply[0] = held == null ? reply(ClaimReply.Verdict.RUN, "") : verdictOn(held, claim);
          boolean granted = reply[0].verdict() == ClaimReply.Verdict.RUN;
          return granted ? running(claim) : held;
        });
    return reply[0];
  }

  /**
   * Answers a retry under a generated key whose first run was recorded here. An unknown key is
   * never run.
   */
  ClaimReply claimGenerated(ClaimRequest claim) {
    Entry held = entries.get(claim.key());
    return held == null
        ? reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "")
        : verdictOnGenerated(held, claim);
  }

  private ClaimReply verdictOnGenerated(Entry held, ClaimRequest claim) {
    ClaimReply verdict = verdictOn(held, claim);
    return verdict.verdict() == ClaimReply.Verdict.RUN
        ? reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "")
        : verdict;
  }

  private Entry running(ClaimRequest claim) {
    return new Entry(claim, Optional.empty(), Phase.RUNNING, false, timers.nowMs());
  }

  private static ClaimReply reply(ClaimReply.Verdict verdict, String runner) {
    return new ClaimReply(verdict, runner, Optional.empty());
  }

  private ClaimReply verdictOn(Entry held, ClaimRequest claim) {
    if (!held.claim().fingerprint().equals(claim.fingerprint())) {
      return reply(ClaimReply.Verdict.MISMATCH, "");
    }
    if (held.phase() == Phase.RUNNING) {
      return verdictOnRunning(held, claim);
    }
    FinishRequest finish = held.finish().orElseThrow();
    return finish.bill().isEmpty()
        ? reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "")
        : new ClaimReply(ClaimReply.Verdict.REPLAY, "", finish.answer());
  }

  private ClaimReply verdictOnRunning(Entry held, ClaimRequest claim) {
    if (held.isRunBy(claim.requestId())) {
      return reply(ClaimReply.Verdict.RUN, "");
    }
    if (!isRunnerUnreachable(held.claim().runner())) {
      return reply(ClaimReply.Verdict.JOIN, held.claim().runner());
    }
    return held.claim().repeatable()
        ? reply(ClaimReply.Verdict.RUN, "")
        : reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "");
  }

  /**
   * Checks whether a runner is unreachable. It may still be running, but its result will not count.
   */
  private boolean isRunnerUnreachable(String runner) {
    Membership view = members.read();
    return view.find(runner).map(found -> !view.isReachable(found)).orElse(true);
  }

  /**
   * Records the end of a run.
   *
   * @return confirmed when it was already decided that this run counts, superseded when another run
   *     counts, held when the backup has to acknowledge it first
   */
  FinishReply.Verdict finish(FinishRequest finish) {
    FinishReply.Verdict[] verdict = new FinishReply.Verdict[1];
    entries.compute(
        finish.key(),
        (key, held) -> {
          verdict[0] = verdictOnEnd(held, finish);
          boolean deciding = verdict[0] == FinishReply.Verdict.HELD && canDecide(held, finish);
          return deciding ? ended(held, finish) : held;
        });
    return verdict[0];
  }

  /**
   * The run that ends first counts, because its caller has an answer while the other run may still
   * fail.
   */
  private static FinishReply.Verdict verdictOnEnd(Entry held, FinishRequest finish) {
    if (canDecide(held, finish)) {
      boolean decided = held != null && held.phase() == Phase.DECIDED;
      return decided ? FinishReply.Verdict.CONFIRMED : FinishReply.Verdict.HELD;
    }
    return held.phase() == Phase.DECIDING
        ? FinishReply.Verdict.HELD
        : FinishReply.Verdict.SUPERSEDED;
  }

  private static boolean canDecide(Entry held, FinishRequest finish) {
    return held == null
        || held.isRunBy(finish.requestId())
        || held.phase() == Phase.RUNNING
        || isUnknownOutcome(held);
  }

  /**
   * Checks whether the recorded run has an unknown outcome. Such a run is not billed, so it does
   * not prevent another run from counting.
   */
  private static boolean isUnknownOutcome(Entry held) {
    return held.finish().filter(finish -> finish.bill().isEmpty()).isPresent();
  }

  /** Checks whether the decision about this run is pending. */
  boolean isPending(FinishRequest finish) {
    Entry held = entries.get(finish.key());
    return held != null && held.isRunBy(finish.requestId()) && held.phase() == Phase.DECIDING;
  }

  private Entry ended(Entry held, FinishRequest finish) {
    boolean same = held != null && held.isRunBy(finish.requestId());
    ClaimRequest claim = same ? held.claim() : claimOf(finish);
    return new Entry(claim, Optional.of(finish), Phase.DECIDING, false, timers.nowMs());
  }

  /**
   * Creates a claim from the end of a run, because a generated key is not claimed before it runs
   * and its record starts with the end of the run.
   */
  private static ClaimRequest claimOf(FinishRequest finish) {
    return new ClaimRequest(
        finish.key(), finish.runner(), finish.requestId(), finish.fingerprint(), true);
  }

  /** Records a decision made here or under an earlier owner. */
  void recordDecision(FinishRequest finish) {
    entries.compute(
        finish.key(),
        (key, held) -> {
          boolean same = held != null && held.isRunBy(finish.requestId());
          boolean posted = finish.bill().isEmpty() || (same && held.posted());
          ClaimRequest claim = same ? held.claim() : claimOf(finish);
          return new Entry(claim, Optional.of(finish), Phase.DECIDED, posted, timers.nowMs());
        });
  }

  /**
   * Records the failure of a run. The next attempt may run unless the outcome has to be retained.
   */
  void recordFailure(FinishRequest finish) {
    entries.computeIfPresent(
        finish.key(),
        (key, held) -> {
          boolean other = !held.isRunBy(finish.requestId()) || held.phase() != Phase.RUNNING;
          if (other) {
            return held;
          }
          boolean mayRunAgain = finish.notRun() || held.claim().repeatable();
          return mayRunAgain
              ? null
              : new Entry(held.claim(), Optional.of(finish), Phase.DECIDED, true, timers.nowMs());
        });
  }

  /** Records that the bill of a run has been written to the ledger. */
  void markPosted(RequestKey key) {
    entries.computeIfPresent(
        key,
        (same, held) -> new Entry(held.claim(), held.finish(), held.phase(), true, held.atMs()));
  }

  /**
   * Returns decided runs whose runner has left the fleet and whose bill is not known to be in the
   * ledger.
   */
  List<FinishRequest> orphanedRuns() {
    Membership view = members.read();
    return entries.values().stream()
        .filter(entry -> entry.phase() == Phase.DECIDED && !entry.posted())
        .filter(entry -> view.find(entry.claim().runner()).isEmpty())
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /** Returns the ends of runs for which the backup has to be asked again. */
  List<FinishRequest> pendingDecisions() {
    return entries.values().stream()
        .filter(entry -> entry.phase() == Phase.DECIDING)
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /** Returns the decided runs, newest first. */
  List<FinishRequest> decidedRuns() {
    return entries.values().stream()
        .filter(entry -> entry.phase() == Phase.DECIDED)
        .sorted((one, two) -> Long.compare(two.atMs(), one.atMs()))
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /** Evicts answers after their retention, and decisions after a longer one. */
  void evictExpired(long answerMs, long decisionMs) {
    long nowMs = timers.nowMs();
    entries.replaceAll((key, held) -> nowMs - held.atMs() > answerMs ? withoutAnswer(held) : held);
    entries
        .values()
        .removeIf(
            held -> {
              long keptMs = held.phase() == Phase.RUNNING ? MAX_RUNNING_MS : decisionMs;
              boolean open = held.phase() == Phase.DECIDING || !held.posted();
              return nowMs - held.atMs() > keptMs && (held.phase() == Phase.RUNNING || !open);
            });
  }

  private static Entry withoutAnswer(Entry held) {
    return new Entry(
        held.claim(),
        held.finish().map(FinishRequest::withoutAnswer),
        held.phase(),
        held.posted(),
        held.atMs());
  }

  /** Returns the total size of the stored answers in bytes. */
  long answerBytes() {
    return entries.values().stream()
        .flatMap(held -> held.finish().stream())
        .flatMap(finish -> finish.answer().stream())
        .mapToLong(answer -> answer.body().length)
        .sum();
  }
}
