package io.mothrill.core.request;

import io.mothrill.core.board.Section;
import io.mothrill.core.peer.Membership;
import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimReply.Verdict;
import io.mothrill.core.peer.PeerMessage.ClaimRequest;
import io.mothrill.core.peer.PeerMessage.FinishRequest;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

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

  private record Entry(
      ClaimRequest claim, Optional<FinishRequest> finish, boolean posted, long atMs) {

    boolean isRunning() {
      return finish.isEmpty();
    }

    boolean isRunBy(String requestId) {
      return claim.requestId().equals(requestId);
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
          boolean granted = reply[0].verdict() == Verdict.RUN;
          return granted ? new Entry(claim, Optional.empty(), false, timers.nowMs()) : held;
        });
    return reply[0];
  }

  private static ClaimReply run() {
    return reply(Verdict.RUN, "");
  }

  private static ClaimReply reply(Verdict verdict, String runner) {
    return new ClaimReply(verdict, runner, Optional.empty());
  }

  private ClaimReply verdictOn(Entry held, ClaimRequest claim, boolean takeover) {
    if (held.isRunBy(claim.requestId())) {
      return run();
    }
    if (!held.claim().fingerprint().equals(claim.fingerprint())) {
      return reply(Verdict.MISMATCH, "");
    }
    if (held.finish().isPresent() && held.finish().get().bill().isEmpty()) {
      return reply(Verdict.OUTCOME_UNKNOWN, "");
    }
    if (held.finish().isPresent()) {
      return new ClaimReply(Verdict.REPLAY, "", held.finish().get().answer());
    }
    if (!takeover && !isGone(held.claim().runner())) {
      return reply(Verdict.JOIN, held.claim().runner());
    }
    return held.claim().repeatable() ? run() : reply(Verdict.OUTCOME_UNKNOWN, "");
  }

  /** A runner that the home does not reach may still run; its result will not count. */
  private boolean isGone(String runner) {
    Membership view = members.read();
    return view.find(runner).map(found -> !view.isReachable(found)).orElse(true);
  }

  /**
   * Decides whether a run that has ended counts, and records its end.
   *
   * <p>A run that failed leaves no record when it may be repeated, so that the next try runs.
   *
   * @param finish the end of the run
   * @return true when the run counts
   */
  public boolean finish(FinishRequest finish) {
    boolean[] confirmed = new boolean[1];
    entries.compute(
        finish.key(),
        (key, held) -> {
          confirmed[0] = held == null || held.isRunBy(finish.requestId());
          return confirmed[0] ? ended(held, finish) : held;
        });
    return confirmed[0];
  }

  private Entry ended(Entry held, FinishRequest finish) {
    boolean failed = finish.bill().isEmpty();
    boolean mayRunAgain = finish.notRun() || held == null || held.claim().repeatable();
    if (failed && mayRunAgain) {
      return null;
    }
    if (held != null && held.finish().isPresent()) {
      return held;
    }
    ClaimRequest claim = held != null ? held.claim() : claimOf(finish);
    return new Entry(claim, Optional.of(finish), failed, timers.nowMs());
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
    keys.forEach(
        key ->
            entries.computeIfPresent(
                key, (same, held) -> new Entry(held.claim(), held.finish(), true, held.atMs())));
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
