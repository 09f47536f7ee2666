package io.mothrill.core.peer;

import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.claim.SoleClaim;
import io.mothrill.core.config.Change;
import io.mothrill.core.platform.InstanceRecord;
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
   * @param allotment the allotment that they belong to
   * @param tokens how many; 0 when there are none to give
   * @param spendForMs how long they may be spent, from when the request was sent
   */
  record BorrowReply(Optional<AllotmentId> allotment, long tokens, long spendForMs)
      implements PeerMessage {}

  /**
   * Gives tokens back to the instance that holds their allotment.
   *
   * @param transferId names the transfer, so that it is taken once
   * @param allotment the allotment that they belong to
   * @param tokens how many
   */
  record HandBack(String transferId, AllotmentId allotment, long tokens) implements PeerMessage {}

  /**
   * Asks the home of a request key whether the request may run.
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
      /** The claim could not be recorded safely: it must not run now. */
      UNSAFE
    }
  }

  /**
   * Copies a claim to the second home.
   *
   * @param claim the claim
   * @param takeover true when the home has decided that it replaces an earlier run
   */
  record CopyClaim(ClaimRequest claim, boolean takeover) implements PeerMessage {}

  /**
   * Copies the end of a run to the second home.
   *
   * @param finish the end of the run
   * @param decided true when the first home has decided that the run counts
   */
  record CopyFinish(FinishRequest finish, boolean decided) implements PeerMessage {}

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
      implements PeerMessage {}

  /**
   * Answers the report of a run.
   *
   * @param verdict whether the run counts
   */
  record FinishReply(FinishReply.Verdict verdict) implements PeerMessage {

    /** Whether a run counts. */
    public enum Verdict {
      /** It counts, and both homes know: it is to be billed. */
      CONFIRMED,
      /** Another run counts: its bill is to be dropped. */
      SUPERSEDED,
      /** The home has a copy, but cannot tell yet, because the other home does not answer. */
      HELD
    }
  }

  /**
   * Tells the homes that bills are in the ledger, so that their copies can go.
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
   * @param lines the bills
   */
  record PostBills(List<Line> lines) implements PeerMessage {

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
   * Asks the backup of a range to acknowledge a claim.
   *
   * @param range the range
   * @param epoch the epoch in which the owner owns it
   * @param owner the owner's incarnation
   * @param backup the incarnation that must acknowledge
   * @param claim the claim
   */
  record CopySole(int range, long epoch, String owner, String backup, SoleClaim claim)
      implements PeerMessage {}

  /**
   * Asks the backup of a range to refuse its owner from now on.
   *
   * @param range the range
   * @param epoch the epoch of the owner that is refused
   * @param backup the incarnation that is meant
   */
  record FenceRange(int range, long epoch, String backup) implements PeerMessage {}

  /**
   * Says that the owner of a range is refused from now on.
   *
   * @param claims what the backup had acknowledged
   */
  record FenceReply(List<SoleClaim> claims) implements PeerMessage {}

  /** Says that a request was taken. */
  record Done() implements PeerMessage {}

  /**
   * Says that a request was not taken.
   *
   * @param reason why, for the log
   */
  record Refused(String reason) implements PeerMessage {}
}
