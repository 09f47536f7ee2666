package io.mothrill.core.request;

import io.mothrill.core.board.Section;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.FinishReply.Verdict;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The request records that this instance keeps as a home or second home of their keys.
 *
 * <p>A record says which run counts. A run that another one has replaced is told so when it ends,
 * and its bill is dropped, so that one key is billed once however many runs it took.
 */
public final class HomeRecords {

  private static final long RUNNING_MAX_MS = 3_600_000;

  private final Map<RequestKey, Entry> entries = new ConcurrentHashMap<>();
  private final Section<Membership> members;
  private final Timers timers;
  private final long windowMs;
  private final int maxEntries;

  /**
   * Creates the records.
   *
   * @param members the fleet, to know which runners are gone
   * @param timers the time
   * @param windowMs how long a finished record is kept
   * @param maxEntries how many records are kept at most; the oldest finished ones go first
   */
  public HomeRecords(Section<Membership> members, Timers timers, long windowMs, int maxEntries) {
    this.members = members;
    this.timers = timers;
    this.windowMs = windowMs;
    this.maxEntries = maxEntries;
  }

  /** How far the decision about a run has come. */
  private enum Phase {
    /** The run goes on. */
    RUNNING,
    /** The end is kept here for safety only. */
    COPIED,
    /** This instance decides as the first home, and waits for the second. */
    DECIDING,
    /** Both homes know that the run counts. */
    AGREED
  }

  private record Entry(
      ClaimRequest claim, Optional<FinishRequest> finish, Phase phase, boolean posted, long atMs) {

    boolean isRunning() {
      return phase == Phase.RUNNING;
    }

    boolean isRunBy(String requestId) {
      return claim.requestId().equals(requestId);
    }

    Entry posting() {
      return new Entry(claim, finish, phase, true, atMs);
    }

    Entry agreeing() {
      return new Entry(claim, finish, Phase.AGREED, posted, atMs);
    }
  }

  /**
   * Decides on a claim and records it.
   *
   * @param claim the claim
   * @param takeover true to replace a run that is not done, because the home decided so
   * @return what the runner has to do
   */
  public ClaimReply claim(ClaimRequest claim, boolean takeover) {
    ClaimReply[] reply = new ClaimReply[1];
    entries.compute(
        claim.key(),
        (key, held) -> {
          reply[0] = held == null ? run() : verdictOn(held, claim, takeover);
          boolean granted = reply[0].verdict() == ClaimReply.Verdict.RUN;
          return granted
              ? new Entry(claim, Optional.empty(), Phase.RUNNING, false, timers.nowMs())
              : held;
        });
    return reply[0];
  }

  private static ClaimReply run() {
    return reply(ClaimReply.Verdict.RUN, "");
  }

  private static ClaimReply reply(ClaimReply.Verdict verdict, String runner) {
    return new ClaimReply(verdict, runner, Optional.empty());
  }

  private ClaimReply verdictOn(Entry held, ClaimRequest claim, boolean takeover) {
    if (held.isRunBy(claim.requestId())) {
      return run();
    }
    if (!held.claim().fingerprint().equals(claim.fingerprint())) {
      return reply(ClaimReply.Verdict.MISMATCH, "");
    }
    if (held.finish().isPresent() && held.finish().get().bill().isEmpty()) {
      return reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "");
    }
    if (held.finish().isPresent()) {
      return new ClaimReply(ClaimReply.Verdict.REPLAY, "", held.finish().get().answer());
    }
    if (!takeover && !isGone(held.claim().runner())) {
      return reply(ClaimReply.Verdict.JOIN, held.claim().runner());
    }
    return held.claim().repeatable() ? run() : reply(ClaimReply.Verdict.OUTCOME_UNKNOWN, "");
  }

  /** A runner that the home does not reach may still run; its result will not count. */
  private boolean isGone(String runner) {
    Membership view = members.read();
    return view.find(runner).map(found -> !view.isReachable(found)).orElse(true);
  }

  /**
   * Takes the end of a run as the first home of its key.
   *
   * <p>A run that another one has replaced, or that came second, does not count.
   *
   * @param finish the end of the run
   * @return whether it may count, as far as this home knows
   */
  public Verdict finishAsFirst(FinishRequest finish) {
    return decide(
        finish,
        held -> {
          boolean own = held.isRunBy(finish.requestId());
          return own || held.phase() == Phase.COPIED ? Verdict.CONFIRMED : Verdict.SUPERSEDED;
        },
        Phase.DECIDING);
  }

  /**
   * Takes the end of a run as the second home, when the first one has decided that it counts.
   *
   * @param finish the end of the run
   * @return confirmed, unless this home knows of, or decides about, another run that counts
   */
  public Verdict agreeAsSecond(FinishRequest finish) {
    return decide(finish, held -> verdictAsSecond(held, finish), Phase.AGREED);
  }

  private static Verdict verdictAsSecond(Entry held, FinishRequest finish) {
    if (held.isRunBy(finish.requestId())) {
      return Verdict.CONFIRMED;
    }
    return switch (held.phase()) {
      case AGREED -> Verdict.SUPERSEDED;
      case DECIDING -> Verdict.HELD;
      default -> Verdict.CONFIRMED;
    };
  }

  /**
   * Keeps the end of a run for safety, while its first home does not answer.
   *
   * @param finish the end of the run
   */
  public void copy(FinishRequest finish) {
    var unused =
        decide(
            finish,
            held ->
                held.isRunning() && held.isRunBy(finish.requestId())
                    ? Verdict.CONFIRMED
                    : Verdict.HELD,
            Phase.COPIED);
  }

  /**
   * Notes that the second home has agreed that a run counts.
   *
   * @param finish the end of the run
   */
  public void agreed(FinishRequest finish) {
    entries.computeIfPresent(
        finish.key(), (key, held) -> held.isRunBy(finish.requestId()) ? held.agreeing() : held);
  }

  private Verdict decide(FinishRequest finish, Function<Entry, Verdict> rule, Phase phase) {
    Verdict[] verdict = {Verdict.CONFIRMED};
    entries.compute(
        finish.key(),
        (key, held) -> {
          verdict[0] = held == null ? Verdict.CONFIRMED : rule.apply(held);
          return verdict[0] == Verdict.CONFIRMED ? ended(held, finish, phase) : held;
        });
    return verdict[0];
  }

  /** A run that failed leaves no record when it may be repeated, so that the next try runs. */
  private Entry ended(Entry held, FinishRequest finish, Phase phase) {
    boolean sameRun = held != null && held.isRunBy(finish.requestId());
    boolean failed = finish.bill().isEmpty();
    boolean mayRunAgain = finish.notRun() || held == null || held.claim().repeatable();
    if (failed && mayRunAgain) {
      return null;
    }
    if (sameRun && held.phase() == Phase.AGREED) {
      return held;
    }
    ClaimRequest claim = sameRun ? held.claim() : claimOf(finish);
    boolean posted = sameRun ? held.posted() : failed;
    return new Entry(claim, Optional.of(finish), phase, posted, timers.nowMs());
  }

  /**
   * Forgets the end of a run that turned out not to count.
   *
   * @param finish the end of the run
   */
  public void forget(FinishRequest finish) {
    entries.computeIfPresent(
        finish.key(), (key, held) -> held.isRunBy(finish.requestId()) ? null : held);
  }

  /** A minted key is not claimed before it runs; its record begins at its end. */
  private static ClaimRequest claimOf(FinishRequest finish) {
    return new ClaimRequest(
        finish.key(), finish.runner(), finish.requestId(), finish.fingerprint(), true);
  }

  /**
   * Notes that bills are in the ledger.
   *
   * @param keys the keys of the runs that were billed
   */
  public void posted(List<RequestKey> keys) {
    keys.forEach(key -> entries.computeIfPresent(key, (same, held) -> held.posting()));
  }

  /**
   * Lists ended runs whose runner is gone and whose bill is not known to be in the ledger.
   *
   * @return the ends of those runs
   */
  public List<FinishRequest> orphaned() {
    Membership view = members.read();
    return entries.values().stream()
        .filter(entry -> !entry.posted() && !entry.isRunning())
        .filter(entry -> view.find(entry.claim().runner()).isEmpty())
        .flatMap(entry -> entry.finish().stream())
        .toList();
  }

  /**
   * Lists all finished records, to hand them over.
   *
   * @return the ends of runs
   */
  public List<FinishRequest> finished() {
    return entries.values().stream().flatMap(entry -> entry.finish().stream()).toList();
  }

  /** Forgets records that are older than their window, and the oldest when there are too many. */
  public void forgetOld() {
    long nowMs = timers.nowMs();
    entries
        .values()
        .removeIf(
            entry ->
                nowMs - entry.atMs() > (entry.isRunning() ? RUNNING_MAX_MS : windowMs)
                    && (entry.posted() || entry.isRunning()));
    int surplus = entries.size() - maxEntries;
    if (surplus > 0) {
      List<Map.Entry<RequestKey, Entry>> oldest = new ArrayList<>(entries.entrySet());
      oldest.stream()
          .filter(entry -> entry.getValue().posted())
          .sorted((one, two) -> Long.compare(one.getValue().atMs(), two.getValue().atMs()))
          .limit(surplus)
          .forEach(entry -> entries.remove(entry.getKey(), entry.getValue()));
    }
  }

  /**
   * Counts the records.
   *
   * @return records of running and ended runs
   */
  public int size() {
    return entries.size();
  }
}
