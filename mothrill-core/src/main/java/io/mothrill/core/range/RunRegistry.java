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
 * What the owner of a range knows of the runs of its keys.
 *
 * <p>A run that another one has replaced is told so when it ends, and its bill is dropped, so that
 * one key is billed once however many runs it took.
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

  /** How far the decision about a key has come. */
  private enum Phase {
    /** A run goes on. */
    RUNNING,
    /** A run has ended, and the backup has not acknowledged yet that it counts. */
    DECIDING,
    /** It is decided that the run counts. */
    DECIDED
  }

  private record Entry(
      ClaimRequest claim, Optional<FinishRequest> finish, Phase phase, boolean posted, long atMs) {

    boolean isRunBy(String requestId) {
      return claim.requestId().equals(requestId);
    }
  }

  /** Says what the runner of a claim has to do, and notes its run when it is to run. */
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

  /** Answers a retry under a key whose first run was noted here; what is not known never runs. */
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

  /** A runner that does not answer may still run; its result will not count. */
  private boolean isRunnerUnreachable(String runner) {
    Membership view = members.read();
    return view.find(runner).map(found -> !view.isReachable(found)).orElse(true);
  }

  /**
   * Takes the end of a run.
   *
   * @return confirmed when it was decided before that this run counts, superseded when another one
   *     counts, held when the backup has to be asked first
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

  /** The run that ends first counts: its caller has an answer, the other one may still fail. */
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

  /** A run that may have failed is not billed, so it cannot stand in the way of one that is. */
  private static boolean isUnknownOutcome(Entry held) {
    return held.finish().filter(finish -> finish.bill().isEmpty()).isPresent();
  }

  /** Says whether a run is the one that is being decided about. */
  boolean isPending(FinishRequest finish) {
    Entry held = entries.get(finish.key());
    return held != null && held.isRunBy(finish.requestId()) && held.phase() == Phase.DECIDING;
  }

  private Entry ended(Entry held, FinishRequest finish) {
    boolean same = held != null && held.isRunBy(finish.requestId());
    ClaimRequest claim = same ? held.claim() : claimOf(finish);
    return new Entry(claim, Optional.of(finish), Phase.DECIDING, false, timers.nowMs());
  }

  /** A minted key is not claimed before it runs; its record begins at its end. */
  private static ClaimRequest claimOf(FinishRequest finish) {
    return new ClaimRequest(
        finish.key(), finish.runner(), finish.requestId(), finish.fingerprint(), true);
  }

  /** Takes up what was decided, here or under an earlier owner. */
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

  /** Ends a run that failed: unless its outcome must be kept, the next try may run. */
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

  /** Notes that a run's bill is in the ledger. */
  void markPosted(RequestKey key) {
    entries.computeIfPresent(
        key,
        (same, held) -> new Entry(held.claim(), held.finish(), held.phase(), true, held.atMs()));
  }

  /** Lists decided runs whose runner is gone and whose bill is not known to be in the ledger. */
  List<FinishRequest> orphanedRuns() {
    Membership view = members.read();
    return entries.values().stream()
        .filter(entry -> entry.phase() == Phase.DECIDED && !entry.posted())
        .filter(entry -> view.find(entry.claim().runner()).isEmpty())
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /** Lists the ends of runs about which the backup has to be asked again. */
  List<FinishRequest> pendingDecisions() {
    return entries.values().stream()
        .filter(entry -> entry.phase() == Phase.DECIDING)
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /** Lists what is decided, newest first. */
  List<FinishRequest> decidedRuns() {
    return entries.values().stream()
        .filter(entry -> entry.phase() == Phase.DECIDED)
        .sorted((one, two) -> Long.compare(two.atMs(), one.atMs()))
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /** Drops old answers first, and in the end the decisions. */
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

  /** Adds up the answers that are kept. */
  long answerBytes() {
    return entries.values().stream()
        .flatMap(held -> held.finish().stream())
        .flatMap(finish -> finish.answer().stream())
        .mapToLong(answer -> answer.body().length)
        .sum();
  }
}
