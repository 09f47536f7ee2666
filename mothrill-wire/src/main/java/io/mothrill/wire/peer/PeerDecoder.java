package io.mothrill.wire.peer;

import io.mothrill.core.budget.AllotmentId;
import io.mothrill.core.budget.BillPart;
import io.mothrill.core.budget.LedgerEntry;
import io.mothrill.core.config.Change;
import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.view.table.ViewTable;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.range.RangeContent;
import io.mothrill.core.range.SoleClaim;
import io.mothrill.core.request.Bill;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.StoredAnswer;
import io.mothrill.core.request.UnrepeatableClaims;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.wire.peer.generated.Envelope;
import io.mothrill.wire.peer.generated.Instance;
import java.util.Optional;

/** Parses peer messages from protobuf. */
public final class PeerDecoder {

  private final ResourceCodec resources;

  /**
   * Creates the decoder.
   *
   * @param resources parses the resources of configuration changes
   */
  public PeerDecoder(ResourceCodec resources) {
    this.resources = resources;
  }

  /**
   * Parses a message.
   *
   * @param envelope the envelope
   * @return the message
   * @throws IllegalArgumentException when the envelope contains no known message
   */
  public PeerMessage decode(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case HEARTBEAT ->
          new PeerMessage.Heartbeat(
              instance(envelope.getHeartbeat().getSelf()),
              envelope.getHeartbeat().getConfigRevision());
      case CHANGES_REQUEST ->
          new PeerMessage.ChangesRequest(
              envelope.getChangesRequest().getAfterRevision(),
              envelope.getChangesRequest().getLimit());
      case CHANGES_REPLY ->
          new PeerMessage.ChangesReply(
              envelope.getChangesReply().getChangesList().stream().map(this::change).toList());
      case DONE -> new PeerMessage.Done();
      case REFUSED -> new PeerMessage.Refused(envelope.getRefused().getReason());
      case CHECK_PATH -> new PeerMessage.CheckPath(envelope.getCheckPath().getIncarnation());
      case OPEN_PATH ->
          new PeerMessage.OpenPath(
              envelope.getOpenPath().getIncarnation(), envelope.getOpenPath().getRequestId());
      case PATH_REPLY ->
          new PeerMessage.PathReply(PathOutcome.valueOf(envelope.getPathReply().getOutcome()));
      case TABLE_REQUEST ->
          new PeerMessage.TableRequest(
              ViewTable.valueOf(envelope.getTableRequest().getTable()),
              envelope.getTableRequest().getAfterVersion());
      case TABLE_REPLY ->
          new PeerMessage.TableReply(
              envelope.getTableReply().hasContent()
                  ? Optional.of(TableContentCodec.read(envelope.getTableReply().getContent()))
                  : Optional.empty());
      case BORROW_REQUEST, BORROW_REPLY, HAND_BACK, POST_BILLS -> decodeBudget(envelope);
      case SOLE_CLAIM, SOLE_REPLY, SOLE_RELEASE, COPY_RANGE, FENCE_RANGE, FENCE_REPLY, KEEP_COPY ->
          decodeSole(envelope);
      default -> decodeRecord(envelope);
    };
  }

  private static PeerMessage decodeBudget(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case BORROW_REQUEST -> {
        var request = envelope.getBorrowRequest();
        yield new PeerMessage.BorrowRequest(
            request.getTransferId(),
            request.getBudget(),
            request.getNeedTokens(),
            request.getWantedTokens(),
            request.getMayGrow());
      }
      case BORROW_REPLY -> {
        var reply = envelope.getBorrowReply();
        yield new PeerMessage.BorrowReply(
            reply.getSlicesList().stream()
                .map(
                    slice ->
                        new PeerMessage.BorrowReply.Slice(
                            AllotmentId.parse(slice.getAllotment()),
                            slice.getTokens(),
                            slice.getSpendForMs()))
                .toList(),
            reply.getSure());
      }
      case HAND_BACK -> {
        var back = envelope.getHandBack();
        yield new PeerMessage.HandBack(
            back.getTransferId(), AllotmentId.parse(back.getAllotment()), back.getTokens());
      }
      default ->
          new PeerMessage.PostBills(
              envelope.getPostBills().getValidUntilWallMs(),
              envelope.getPostBills().getLinesList().stream()
                  .map(
                      line ->
                          new PeerMessage.PostBills.Line(
                              AllotmentId.parse(line.getAllotment()),
                              new LedgerEntry(
                                  line.getRequestId(), line.getKey(), line.getTokens())))
                  .toList());
    };
  }

  private static PeerMessage decodeSole(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case SOLE_CLAIM -> new PeerMessage.SoleRequest(soleClaim(envelope.getSoleClaim()));
      case SOLE_REPLY ->
          new PeerMessage.SoleReply(
              UnrepeatableClaims.Outcome.valueOf(envelope.getSoleReply().getOutcome()));
      case SOLE_RELEASE -> {
        var release = envelope.getSoleRelease();
        yield new PeerMessage.SoleRelease(
            new SoleClaim(key(release.getKey()), release.getRequestId()));
      }
      case COPY_RANGE -> {
        var copy = envelope.getCopyRange();
        yield new PeerMessage.CopyRange(
            copy.getRange(), copy.getEpoch(), copy.getBackup(), content(copy.getContent()));
      }
      case KEEP_COPY -> new PeerMessage.KeepCopy(finish(envelope.getKeepCopy().getFinish()));
      case FENCE_RANGE -> {
        var fence = envelope.getFenceRange();
        yield new PeerMessage.FenceRange(fence.getRange(), fence.getEpoch(), fence.getBackup());
      }
      default -> new PeerMessage.FenceReply(content(envelope.getFenceReply().getContent()));
    };
  }

  private static RangeContent content(io.mothrill.wire.peer.generated.RangeContent content) {
    return new RangeContent(
        content.getClaimsList().stream().map(PeerDecoder::soleClaim).toList(),
        content.getRunsList().stream().map(PeerDecoder::finish).toList());
  }

  private static SoleClaim soleClaim(io.mothrill.wire.peer.generated.SoleClaim claim) {
    return new SoleClaim(key(claim.getKey()), claim.getRequestId());
  }

  private static PeerMessage decodeRecord(Envelope envelope) {
    return switch (envelope.getBodyCase()) {
      case CLAIM_REQUEST -> claim(envelope.getClaimRequest());
      case CLAIM_REPLY -> {
        var reply = envelope.getClaimReply();
        yield new PeerMessage.ClaimReply(
            PeerMessage.ClaimReply.Verdict.valueOf(reply.getVerdict()),
            reply.getRunner(),
            reply.hasAnswer() ? Optional.of(answer(reply.getAnswer())) : Optional.empty());
      }
      case FINISH_REQUEST -> finish(envelope.getFinishRequest());
      case FINISH_REPLY ->
          new PeerMessage.FinishReply(
              PeerMessage.FinishReply.Verdict.valueOf(envelope.getFinishReply().getVerdict()));
      case BILLS_POSTED ->
          new PeerMessage.BillsPosted(
              envelope.getBillsPosted().getKeysList().stream().map(PeerDecoder::key).toList());
      case ANSWER_REQUEST ->
          new PeerMessage.AnswerRequest(key(envelope.getAnswerRequest().getKey()));
      case ANSWER_REPLY ->
          new PeerMessage.AnswerReply(
              envelope.getAnswerReply().getPending(),
              envelope.getAnswerReply().hasAnswer()
                  ? Optional.of(answer(envelope.getAnswerReply().getAnswer()))
                  : Optional.empty());
      default ->
          throw new IllegalArgumentException("unknown peer message " + envelope.getBodyCase());
    };
  }

  private static InstanceRecord instance(Instance instance) {
    return new InstanceRecord(
        instance.getId(),
        instance.getIncarnation(),
        instance.getDomain(),
        instance.getHost(),
        instance.getPeerPort(),
        instance.getLeaving());
  }

  private Change change(io.mothrill.wire.peer.generated.Change change) {
    return new Change(
        change.getRevision(),
        ResourceKind.find(change.getKind()).orElseThrow(),
        change.getName(),
        Optional.of(change.getResourceJson())
            .filter(json -> !json.isEmpty())
            .map(resources::decode),
        change.getChangeId(),
        change.getWho(),
        change.getWallMs());
  }

  private static RequestKey key(io.mothrill.wire.peer.generated.RequestKey key) {
    return new RequestKey(key.getTeam(), key.getKey());
  }

  private static StoredAnswer answer(io.mothrill.wire.peer.generated.StoredAnswer answer) {
    return new StoredAnswer(
        answer.getStatus(), answer.getContentType(), answer.getBody().toByteArray());
  }

  private static PeerMessage.ClaimRequest claim(
      io.mothrill.wire.peer.generated.ClaimRequest claim) {
    return new PeerMessage.ClaimRequest(
        key(claim.getKey()),
        claim.getRunner(),
        claim.getRequestId(),
        claim.getFingerprint(),
        claim.getRepeatable());
  }

  private static PeerMessage.FinishRequest finish(
      io.mothrill.wire.peer.generated.FinishRequest finish) {
    RequestKey key = key(finish.getKey());
    Optional<Bill> bill =
        finish.hasBill()
            ? Optional.of(
                new Bill(
                    finish.getRequestId(),
                    key,
                    finish.getBill().getPartsList().stream().map(PeerDecoder::part).toList()))
            : Optional.empty();
    return new PeerMessage.FinishRequest(
        key,
        finish.getRequestId(),
        finish.getRunner(),
        finish.getFingerprint(),
        finish.getNotRun(),
        bill,
        finish.hasAnswer() ? Optional.of(answer(finish.getAnswer())) : Optional.empty());
  }

  private static BillPart part(io.mothrill.wire.peer.generated.BillPart part) {
    return new BillPart(AllotmentId.parse(part.getAllotment()), part.getTokens());
  }
}
