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
        (key, existing) -> {
          reply[0] =
              existing == null ? reply(ClaimReply.Verdict.RUN, "") : verdictOn(existing, claim);
          boolean granted = reply[0].verdict() == ClaimReply.Verdict.RUN;
          return granted ? runningEntry(claim) : existing;
        });
    return reply[0];
  }

  /**
   * Answers a retry under a generated key whose first run was recorded here. An unknown key is
   * never run.
   */
  ClaimReply claimGenerated(ClaimRequest claim) {
    Entry existing = entries.get(claim.key());
    return existing == null
        ? reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "")
        : verdictOnGenerated(existing, claim);
  }

  private ClaimReply verdictOnGenerated(Entry existing, ClaimRequest claim) {
    ClaimReply verdict = verdictOn(existing, claim);
    return verdict.verdict() == ClaimReply.Verdict.RUN
        ? reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "")
        : verdict;
  }

  private Entry runningEntry(ClaimRequest claim) {
    return new Entry(claim, Optional.empty(), Phase.RUNNING, false, timers.nowMs());
  }

  private static ClaimReply reply(ClaimReply.Verdict verdict, String runner) {
    return new ClaimReply(verdict, runner, Optional.empty());
  }

  private ClaimReply verdictOn(Entry existing, ClaimRequest claim) {
    if (!existing.claim().fingerprint().equals(claim.fingerprint())) {
      return reply(ClaimReply.Verdict.MISMATCH, "");
    }
    if (existing.phase() == Phase.RUNNING) {
      return verdictOnRunning(existing, claim);
    }
    FinishRequest finish = existing.finish().orElseThrow();
    return finish.bill().isEmpty()
        ? reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "")
        : new ClaimReply(ClaimReply.Verdict.REPLAY, "", finish.answer());
  }

  private ClaimReply verdictOnRunning(Entry existing, ClaimRequest claim) {
    if (existing.isRunBy(claim.requestId())) {
      return reply(ClaimReply.Verdict.RUN, "");
    }
    if (!isRunnerUnreachable(existing.claim().runner())) {
      return reply(ClaimReply.Verdict.JOIN, existing.claim().runner());
    }
    return existing.claim().repeatable()
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
        (key, existing) -> {
          verdict[0] = verdictOnEnd(existing, finish);
          boolean deciding = verdict[0] == FinishReply.Verdict.HELD && canDecide(existing, finish);
          return deciding ? decidingEntry(existing, finish) : existing;
        });
    return verdict[0];
  }

  /**
   * The run that ends first counts, because its caller has an answer while the other run may still
   * fail.
   */
  private static FinishReply.Verdict verdictOnEnd(Entry existing, FinishRequest finish) {
    if (canDecide(existing, finish)) {
      boolean decided = existing != null && existing.phase() == Phase.DECIDED;
      return decided ? FinishReply.Verdict.CONFIRMED : FinishReply.Verdict.HELD;
    }
    return existing.phase() == Phase.DECIDING
        ? FinishReply.Verdict.HELD
        : FinishReply.Verdict.SUPERSEDED;
  }

  private static boolean canDecide(Entry existing, FinishRequest finish) {
    return existing == null
        || existing.isRunBy(finish.requestId())
        || existing.phase() == Phase.RUNNING
        || isUnknownOutcome(existing);
  }

  /**
   * Checks whether the recorded run has an unknown outcome. Such a run is not billed, so it does
   * not prevent another run from counting.
   */
  private static boolean isUnknownOutcome(Entry existing) {
    return existing.finish().filter(finish -> finish.bill().isEmpty()).isPresent();
  }

  /** Checks whether the decision about this run is pending. */
  boolean isPending(FinishRequest finish) {
    Entry existing = entries.get(finish.key());
    return existing != null
        && existing.isRunBy(finish.requestId())
        && existing.phase() == Phase.DECIDING;
  }

  private Entry decidingEntry(Entry existing, FinishRequest finish) {
    boolean same = existing != null && existing.isRunBy(finish.requestId());
    ClaimRequest claim = same ? existing.claim() : claimFrom(finish);
    return new Entry(claim, Optional.of(finish), Phase.DECIDING, false, timers.nowMs());
  }

  /**
   * Creates a claim from the end of a run, because a generated key is not claimed before it runs
   * and its record starts with the end of the run.
   */
  private static ClaimRequest claimFrom(FinishRequest finish) {
    return new ClaimRequest(
        finish.key(), finish.runner(), finish.requestId(), finish.fingerprint(), true);
  }

  /** Records a decision made here or under an earlier owner. */
  void recordDecision(FinishRequest finish) {
    entries.compute(
        finish.key(),
        (key, existing) -> {
          boolean sameRun = existing != null && existing.isRunBy(finish.requestId());
          boolean posted = finish.bill().isEmpty() || (sameRun && existing.posted());
          ClaimRequest claim = sameRun ? existing.claim() : claimFrom(finish);
          return new Entry(claim, Optional.of(finish), Phase.DECIDED, posted, timers.nowMs());
        });
  }

  /**
   * Records the failure of a run. The next attempt may run unless the outcome has to be retained.
   */
  void recordFailure(FinishRequest finish) {
    entries.computeIfPresent(
        finish.key(),
        (key, existing) -> {
          boolean superseded =
              !existing.isRunBy(finish.requestId()) || existing.phase() != Phase.RUNNING;
          if (superseded) {
            return existing;
          }
          boolean mayRunAgain = finish.notRun() || existing.claim().repeatable();
          return mayRunAgain
              ? null
              : new Entry(
                  existing.claim(), Optional.of(finish), Phase.DECIDED, true, timers.nowMs());
        });
  }

  /** Records that the bill of a run has been written to the ledger. */
  void markPosted(RequestKey key) {
    entries.computeIfPresent(
        key,
        (ignoredKey, existing) ->
            new Entry(
                existing.claim(), existing.finish(), existing.phase(), true, existing.atMs()));
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
    entries.replaceAll(
        (key, existing) -> nowMs - existing.atMs() > answerMs ? withoutAnswer(existing) : existing);
    entries
        .values()
        .removeIf(
            existing -> {
              long retentionMs = existing.phase() == Phase.RUNNING ? MAX_RUNNING_MS : decisionMs;
              boolean unresolved = existing.phase() == Phase.DECIDING || !existing.posted();
              return nowMs - existing.atMs() > retentionMs
                  && (existing.phase() == Phase.RUNNING || !unresolved);
            });
  }

  private static Entry withoutAnswer(Entry existing) {
    return new Entry(
        existing.claim(),
        existing.finish().map(FinishRequest::withoutAnswer),
        existing.phase(),
        existing.posted(),
        existing.atMs());
  }

  /** Returns the total size of the stored answers in bytes. */
  long answerBytes() {
    return entries.values().stream()
        .flatMap(existing -> existing.finish().stream())
        .flatMap(finish -> finish.answer().stream())
        .mapToLong(answer -> answer.body().length)
        .sum();
  }
}
