package io.mothrill.core.peer;

import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.config.Change;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.range.RangeContent;
import io.mothrill.core.range.SoleClaim;
import io.mothrill.core.request.Bill;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.StoredAnswer;
import io.mothrill.core.request.UnrepeatableClaims;
import java.util.List;
import java.util.Optional;

/** A message between two instances. Each request has one reply. */
public sealed interface PeerMessage {

  /**
   * Informs a peer that the sender is alive. The reply is the heartbeat of the peer.
   *
   * @param self the sender
   * @param configRevision the revision of the configuration that it uses
   */
  record Heartbeat(InstanceRecord self, long configRevision) implements PeerMessage {}

  /**
   * Asks whether the receiver reaches an upstream. The reply is a {@link PathReply}.
   *
   * @param incarnation the incarnation of the upstream
   */
  record CheckPath(String incarnation) implements PeerMessage {}

  /**
   * Asks the receiver to connect to an upstream and to relay the bytes that follow on this
   * connection. The reply is a {@link PathReply}.
   *
   * @param incarnation the incarnation of the upstream
   * @param requestId the request for which the connection is opened, for the log
   */
  record OpenPath(String incarnation, String requestId) implements PeerMessage {}

  /**
   * Tells what the sender has found out about its path to an upstream.
   *
   * @param outcome the outcome; bytes are relayed only after {@link PathOutcome#REACHED}
   */
  record PathReply(PathOutcome outcome) implements PeerMessage {}

  /**
   * Requests the changes of a table of the platform's store. The reply is a {@link TableReply}.
   *
   * @param table the table
   * @param afterVersion the version of the store that the sender's copy reflects; -1 if it has none
   */
  record TableRequest(ViewTable table, long afterVersion) implements PeerMessage {}

  /**
   * Contains the changes of a table.
   *
   * @param read the changes; empty if the sender has no copy of the table
   */
  record TableReply(Optional<TableRead> read) implements PeerMessage {}

  /**
   * Requests configuration changes.
   *
   * @param afterRevision the last revision that the sender holds
   * @param limit the maximum number of changes
   */
  record ChangesRequest(long afterRevision, int limit) implements PeerMessage {}

  /**
   * Contains configuration changes.
   *
   * @param changes the changes after the requested revision, without a gap
   */
  record ChangesReply(List<Change> changes) implements PeerMessage {}

  /**
   * Requests tokens.
   *
   * @param transferId identifies the transfer, so that the request can be repeated
   * @param budget the budget's name
   * @param needTokens the smallest number of tokens that helps
   * @param wantedTokens the preferred number of tokens
   * @param mayRefill whether the peer should request more from the platform when it has too few
   */
  record BorrowRequest(
      String transferId, String budget, long needTokens, long wantedTokens, boolean mayRefill)
      implements PeerMessage {}

  /**
   * Contains lent tokens, which the peer has removed from its pools.
   *
   * @param slices the tokens by allotment; empty when none are available
   * @param conclusive false when the peer could not reach the platform to request more
   */
  record BorrowReply(List<Slice> slices, boolean conclusive) implements PeerMessage {

    /**
     * Tokens of one allotment.
     *
     * @param allotment the allotment that they belong to
     * @param tokens the number of tokens
     * @param spendForMs the time for which they may be spent, counted from the sending of the
     *     request
     */
    public record Slice(AllotmentId allotment, long tokens, long spendForMs) {}
  }

  /**
   * Returns borrowed tokens to the instance that holds their allotment.
   *
   * @param transferId identifies the transfer, so that it is applied once
   * @param allotment the allotment that they belong to
   * @param tokens the number of tokens
   */
  record HandBack(String transferId, AllotmentId allotment, long tokens) implements PeerMessage {}

  /**
   * Asks the owner of a key's range whether the request may run.
   *
   * @param key the request key
   * @param runner the incarnation that requests to run it
   * @param requestId the runner's id for this run
   * @param fingerprint a hash of the request, to detect a key that is reused for another request
   * @param repeatable whether a second run is allowed when the first runner is unreachable
   */
  record ClaimRequest(
      RequestKey key, String runner, String requestId, String fingerprint, boolean repeatable)
      implements PeerMessage {}

  /**
   * The reply to a claim.
   *
   * @param verdict the verdict on the claim
   * @param runner the incarnation that runs the request, when it is another one
   * @param answer the stored answer, when the request has completed
   */
  record ClaimReply(ClaimReply.Verdict verdict, String runner, Optional<StoredAnswer> answer)
      implements PeerMessage {

    /** The verdict on a claim. */
    public enum Verdict {
      /** The request may run. */
      RUN,
      /** The request runs at another instance, for whose answer the runner waits. */
      JOIN,
      /** The request has completed, and the stored answer is replayed. */
      REPLAY,
      /** The key was used for another request. */
      MISMATCH,
      /** The request may have run and must not run again. */
      OUTCOME_UNKNOWN,
      /** The instance does not own the range of the key. */
      NOT_OWNER
    }
  }

  /**
   * Reports a run that has ended.
   *
   * @param key the request key
   * @param requestId the runner's id for this run
   * @param runner the incarnation that ran it
   * @param fingerprint a hash of the request
   * @param notRun true when the request certainly did not run
   * @param bill the bill; empty when the run failed
   * @param answer the answer; empty when the run failed or the answer is too large to store
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
     * Returns a copy without the answer.
     *
     * @return the copy
     */
    public FinishRequest withoutAnswer() {
      return new FinishRequest(key, requestId, runner, fingerprint, notRun, bill, Optional.empty());
    }
  }

  /**
   * The reply to the report of a run.
   *
   * @param verdict the verdict on the run
   */
  record FinishReply(FinishReply.Verdict verdict) implements PeerMessage {

    /** The verdict on whether a run counts. */
    public enum Verdict {
      /** The run counts, and the backup has acknowledged it. Its bill is posted. */
      CONFIRMED,
      /** Another run counts. The bill of this run is dropped. */
      SUPERSEDED,
      /** The verdict is not known yet, because the backup has not responded. */
      HELD,
      /** The instance does not own the range of the key. */
      NOT_OWNER
    }
  }

  /**
   * Notifies the owner of keys that bills have been written to the ledger, so that no instance has
   * to post them again.
   *
   * @param keys the keys of the runs whose bills were posted
   */
  record BillsPosted(List<RequestKey> keys) implements PeerMessage {}

  /**
   * Requests the answer of a request that the peer runs, and waits for it.
   *
   * @param key the request key
   */
  record AnswerRequest(RequestKey key) implements PeerMessage {}

  /**
   * Contains the answer of a request.
   *
   * @param pending true when the run is still in flight and the peer has to be asked again
   * @param answer the answer; empty when the run failed or its answer was not stored
   */
  record AnswerReply(boolean pending, Optional<StoredAnswer> answer) implements PeerMessage {}

  /**
   * Requests the holder of allotments to post bills for them. The reply is sent when the bills have
   * been written to the ledger.
   *
   * @param validUntilWallMs the wall clock time after which the holder must not accept them any
   *     more
   * @param lines the bills
   */
  record PostBills(long validUntilWallMs, List<Line> lines) implements PeerMessage {

    /**
     * A bill.
     *
     * @param allotment the allotment whose tokens it used
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
   * The reply to the claim of an unrepeatable request.
   *
   * @param outcome whether the request may be sent
   */
  record SoleReply(UnrepeatableClaims.Outcome outcome) implements PeerMessage {}

  /**
   * Releases the claim of a run that certainly did not send its request.
   *
   * @param claim the claim
   */
  record SoleRelease(SoleClaim claim) implements PeerMessage {}

  /**
   * Requests the backup of a range to acknowledge decisions.
   *
   * @param range the range's name
   * @param epoch the epoch in which the owner owns it
   * @param backup the incarnation that must acknowledge
   * @param content the decisions
   */
  record CopyRange(String range, long epoch, String backup, RangeContent content)
      implements PeerMessage {}

  /**
   * Requests the backup of a range to fence the owner of an epoch.
   *
   * @param range the range's name
   * @param epoch the epoch of the owner that is fenced
   * @param backup the incarnation to which the request is addressed
   */
  record FenceRange(String range, long epoch, String backup) implements PeerMessage {}

  /**
   * Confirms that the owner of a range has been fenced.
   *
   * @param content the decisions that the backup had acknowledged
   */
  record FenceReply(RangeContent content) implements PeerMessage {}

  /**
   * Requests an instance to store the end of a run that cannot be decided yet.
   *
   * @param finish the end of the run
   */
  record KeepCopy(FinishRequest finish) implements PeerMessage {}

  /** Confirms that a request was accepted. */
  record Done() implements PeerMessage {}

  /**
   * Reports that a request was not accepted.
   *
   * @param reason the reason, for the log
   */
  record Refused(String reason) implements PeerMessage {}
}
