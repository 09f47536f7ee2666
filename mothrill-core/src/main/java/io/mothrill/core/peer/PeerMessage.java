package io.mothrill.core.peer;

import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.config.Change;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.range.RangeContent;
import io.mothrill.core.range.SoleClaim;
import io.mothrill.core.request.Bill;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.StoredAnswer;
import io.mothrill.core.request.UnrepeatableClaims;
import java.util.List;
import java.util.Optional;

/** A message between two instances; each request has one reply. */
public sealed interface PeerMessage {

  /**
   * Tells a peer that the sender is there; the reply tells the same of the peer.
   *
   * @param self the sender
   * @param configRevision the configuration revision that it has in force
   */
  record Heartbeat(InstanceRecord self, long configRevision) implements PeerMessage {}

  /**
   * Asks for changes of configuration.
   *
   * @param afterRevision the last revision that the sender holds
   * @param limit at most this many
   */
  record ChangesRequest(long afterRevision, int limit) implements PeerMessage {}

  /**
   * Gives changes of configuration.
   *
   * @param changes the changes that follow, without a gap
   */
  record ChangesReply(List<Change> changes) implements PeerMessage {}

  /**
   * Asks for tokens.
   *
   * @param transferId names the transfer, so that it can be asked for again
   * @param budget the budget's name
   * @param needTokens the least that helps
   * @param wantedTokens as much as the sender would like
   * @param mayGrow whether the peer should ask the platform when it has too few itself
   */
  record BorrowRequest(
      String transferId, String budget, long needTokens, long wantedTokens, boolean mayGrow)
      implements PeerMessage {}

  /**
   * Gives tokens; the peer no longer has them.
   *
   * @param slices the tokens, by the allotment that they belong to; empty when there are none
   * @param sure false when the peer could not ask the platform for more
   */
  record BorrowReply(List<Slice> slices, boolean sure) implements PeerMessage {

    /**
     * Tokens of one allotment.
     *
     * @param allotment the allotment that they belong to
     * @param tokens how many
     * @param spendForMs how long they may be spent, from when the request was sent
     */
    public record Slice(AllotmentId allotment, long tokens, long spendForMs) {}
  }

  /**
   * Gives tokens back to the instance that holds their allotment.
   *
   * @param transferId names the transfer, so that it is taken once
   * @param allotment the allotment that they belong to
   * @param tokens how many
   */
  record HandBack(String transferId, AllotmentId allotment, long tokens) implements PeerMessage {}

  /**
   * Asks the owner of a key's range whether the request may run.
   *
   * @param key the request key
   * @param runner the incarnation that would run it
   * @param requestId the runner's id for this run
   * @param fingerprint hash of the request, so that a key is not used for two
   * @param repeatable whether a second run is allowed when the first runner is gone
   */
  record ClaimRequest(
      RequestKey key, String runner, String requestId, String fingerprint, boolean repeatable)
      implements PeerMessage {}

  /**
   * Answers a claim.
   *
   * @param verdict what the runner has to do
   * @param runner who runs the request, when someone else does
   * @param answer the stored answer, when the request is done
   */
  record ClaimReply(ClaimReply.Verdict verdict, String runner, Optional<StoredAnswer> answer)
      implements PeerMessage {

    /** What the runner has to do. */
    public enum Verdict {
      /** Run it. */
      RUN,
      /** Another instance runs it: wait for its answer. */
      JOIN,
      /** It is done: give the stored answer. */
      REPLAY,
      /** The key was used for another request. */
      MISMATCH,
      /** It may have run, and must not run again. */
      OUTCOME_UNKNOWN,
      /** The instance that was asked does not own the key's range. */
      NOT_OWNER
    }
  }

  /**
   * Reports a run that has ended.
   *
   * @param key the request key
   * @param requestId the runner's id for this run
   * @param runner the incarnation that ran it
   * @param fingerprint hash of the request
   * @param notRun true when the request surely did not run
   * @param bill what it owes; empty when the run failed
   * @param answer its answer; empty when it failed, or is too large to keep
   */
  record FinishRequest(
      RequestKey key,
      String requestId,
      String runner,
      String fingerprint,
      boolean notRun,
      Optional<Bill> bill,
      Optional<StoredAnswer> answer)
      implements PeerMessage {

    /**
     * Leaves out the answer.
     *
     * @return a copy without it
     */
    public FinishRequest withoutAnswer() {
      return new FinishRequest(key, requestId, runner, fingerprint, notRun, bill, Optional.empty());
    }
  }

  /**
   * Answers the report of a run.
   *
   * @param verdict whether the run counts
   */
  record FinishReply(FinishReply.Verdict verdict) implements PeerMessage {

    /** Whether a run counts. */
    public enum Verdict {
      /** It counts, and the backup knows: it is to be billed. */
      CONFIRMED,
      /** Another run counts: its bill is to be dropped. */
      SUPERSEDED,
      /** It cannot be told yet, because the backup does not answer. */
      HELD,
      /** The instance that was asked does not own the key's range. */
      NOT_OWNER
    }
  }

  /**
   * Tells the owner of keys that bills are in the ledger, so that nobody need post them again.
   *
   * @param keys the keys of the runs whose bills were posted
   */
  record BillsPosted(List<RequestKey> keys) implements PeerMessage {}

  /**
   * Waits for the answer of a request that the peer runs.
   *
   * @param key the request key
   */
  record AnswerRequest(RequestKey key) implements PeerMessage {}

  /**
   * Gives the answer of a request.
   *
   * @param pending true when the run goes on and the peer has to be asked again
   * @param answer the answer; empty when the run failed or its answer was not kept
   */
  record AnswerReply(boolean pending, Optional<StoredAnswer> answer) implements PeerMessage {}

  /**
   * Asks the holder of allotments to post bills that draw on them; the reply comes when they are in
   * the ledger.
   *
   * @param validUntilWallMs the wall clock time after which the holder must not take them any more
   * @param lines the bills
   */
  record PostBills(long validUntilWallMs, List<Line> lines) implements PeerMessage {

    /**
     * One bill.
     *
     * @param allotment the allotment that it draws on
     * @param entry the bill
     */
    public record Line(AllotmentId allotment, LedgerEntry entry) {}
  }

  /**
   * Asks the owner of a key's range whether an unrepeatable request may be sent.
   *
   * @param claim the claim
   */
  record SoleRequest(SoleClaim claim) implements PeerMessage {}

  /**
   * Answers a claim of an unrepeatable request.
   *
   * @param outcome whether the request may be sent
   */
  record SoleReply(UnrepeatableClaims.Outcome outcome) implements PeerMessage {}

  /**
   * Gives up the claim of a run that surely did not send its request.
   *
   * @param claim the claim
   */
  record SoleRelease(SoleClaim claim) implements PeerMessage {}

  /**
   * Asks the backup of a range to acknowledge decisions.
   *
   * @param range the range's name
   * @param epoch the epoch in which the owner owns it
   * @param backup the incarnation that must acknowledge
   * @param content what was decided
   */
  record CopyRange(String range, long epoch, String backup, RangeContent content)
      implements PeerMessage {}

  /**
   * Asks the backup of a range to refuse its owner from now on.
   *
   * @param range the range's name
   * @param epoch the epoch of the owner that is refused
   * @param backup the incarnation that is meant
   */
  record FenceRange(String range, long epoch, String backup) implements PeerMessage {}

  /**
   * Says that the owner of a range is refused from now on.
   *
   * @param content what the backup had acknowledged
   */
  record FenceReply(RangeContent content) implements PeerMessage {}

  /**
   * Asks an instance to keep the end of a run that cannot be decided about yet.
   *
   * @param finish the end of the run
   */
  record KeepCopy(FinishRequest finish) implements PeerMessage {}

  /** Says that a request was taken. */
  record Done() implements PeerMessage {}

  /**
   * Says that a request was not taken.
   *
   * @param reason why, for the log
   */
  record Refused(String reason) implements PeerMessage {}
}
