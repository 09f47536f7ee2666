package io.mothrill.wire.peer;

import com.google.protobuf.ByteString;
import io.mothrill.core.config.Change;
import io.mothrill.core.peer.PeerMessage;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.range.RangeContent;
import io.mothrill.core.range.SoleClaim;
import io.mothrill.core.request.Bill;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.request.StoredAnswer;
import io.mothrill.core.resource.ResourceCodec;
import io.mothrill.wire.peer.generated.Envelope;
import io.mothrill.wire.peer.generated.Instance;

/** Serializes peer messages as protobuf. */
public final class PeerEncoder {

  private final ResourceCodec resources;

  /**
   * Creates the encoder.
   *
   * @param resources serializes the resources of configuration changes
   */
  public PeerEncoder(ResourceCodec resources) {
    this.resources = resources;
  }

  /**
   * Serializes a message.
   *
   * @param message the message
   * @return an envelope without a correlation id
   */
  public Envelope.Builder encode(PeerMessage message) {
    Envelope.Builder envelope = Envelope.newBuilder();
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      envelope
          .getHeartbeatBuilder()
          .setSelf(instance(heartbeat.self()))
          .setConfigRevision(heartbeat.configRevision());
    } else if (message instanceof PeerMessage.ChangesRequest request) {
      envelope
          .getChangesRequestBuilder()
          .setAfterRevision(request.afterRevision())
          .setLimit(request.limit());
    } else if (message instanceof PeerMessage.ChangesReply reply) {
      var builder = envelope.getChangesReplyBuilder();
      reply.changes().stream().map(this::change).forEach(builder::addChanges);
    } else if (message instanceof PeerMessage.Done) {
      envelope.getDoneBuilder();
    } else if (message instanceof PeerMessage.Refused refused) {
      envelope.getRefusedBuilder().setReason(refused.reason());
    } else if (message instanceof PeerMessage.CheckPath check) {
      envelope.getCheckPathBuilder().setIncarnation(check.incarnation());
    } else if (message instanceof PeerMessage.OpenPath open) {
      envelope
          .getOpenPathBuilder()
          .setIncarnation(open.incarnation())
          .setRequestId(open.requestId());
    } else if (message instanceof PeerMessage.PathReply reply) {
      envelope.getPathReplyBuilder().setOutcome(reply.outcome().name());
    } else if (!encodeTable(envelope, message)) {
      encodeBudget(envelope, message);
    }
    return envelope;
  }

  private static boolean encodeTable(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.TableRequest request) {
      envelope
          .getTableRequestBuilder()
          .setTable(request.table().name())
          .setAfterVersion(request.afterVersion());
      return true;
    }
    if (message instanceof PeerMessage.TableReply reply) {
      var builder = envelope.getTableReplyBuilder();
      reply.read().map(TableContentCodec::write).ifPresent(builder::setContent);
      return true;
    }
    return false;
  }

  private static void encodeBudget(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.BorrowRequest request) {
      envelope
          .getBorrowRequestBuilder()
          .setTransferId(request.transferId())
          .setBudget(request.budget())
          .setNeedTokens(request.needTokens())
          .setWantedTokens(request.wantedTokens())
          .setMayGrow(request.mayRefill());
    } else if (message instanceof PeerMessage.BorrowReply reply) {
      var builder = envelope.getBorrowReplyBuilder().setSure(reply.conclusive());
      reply
          .slices()
          .forEach(
              slice ->
                  builder
                      .addSlicesBuilder()
                      .setAllotment(slice.allotment().toString())
                      .setTokens(slice.tokens())
                      .setSpendForMs(slice.spendForMs()));
    } else if (message instanceof PeerMessage.HandBack back) {
      envelope
          .getHandBackBuilder()
          .setTransferId(back.transferId())
          .setAllotment(back.allotment().toString())
          .setTokens(back.tokens());
    } else if (message instanceof PeerMessage.PostBills bills) {
      var builder = envelope.getPostBillsBuilder().setValidUntilWallMs(bills.validUntilWallMs());
      bills
          .lines()
          .forEach(
              line ->
                  builder
                      .addLinesBuilder()
                      .setAllotment(line.allotment().toString())
                      .setRequestId(line.entry().requestId())
                      .setKey(line.entry().key())
                      .setTokens(line.entry().tokens()));
    } else {
      encodeRecord(envelope, message);
      encodeSole(envelope, message);
    }
  }

  private static void encodeSole(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.SoleRequest request) {
      envelope.setSoleClaim(soleClaim(request.claim()));
    } else if (message instanceof PeerMessage.SoleReply reply) {
      envelope.getSoleReplyBuilder().setOutcome(reply.outcome().name());
    } else if (message instanceof PeerMessage.SoleRelease release) {
      envelope
          .getSoleReleaseBuilder()
          .setKey(key(release.claim().key()))
          .setRequestId(release.claim().requestId());
    } else if (message instanceof PeerMessage.CopyRange copy) {
      envelope
          .getCopyRangeBuilder()
          .setRange(copy.range())
          .setEpoch(copy.epoch())
          .setBackup(copy.backup())
          .setContent(content(copy.content()));
    } else if (message instanceof PeerMessage.FenceRange fence) {
      envelope
          .getFenceRangeBuilder()
          .setRange(fence.range())
          .setEpoch(fence.epoch())
          .setBackup(fence.backup());
    } else if (message instanceof PeerMessage.FenceReply reply) {
      envelope.getFenceReplyBuilder().setContent(content(reply.content()));
    } else if (message instanceof PeerMessage.KeepCopy keep) {
      envelope.getKeepCopyBuilder().setFinish(finish(keep.finish()));
    }
  }

  private static io.mothrill.wire.peer.generated.RangeContent content(RangeContent content) {
    var builder = io.mothrill.wire.peer.generated.RangeContent.newBuilder();
    content.claims().forEach(claim -> builder.addClaims(soleClaim(claim)));
    content.runs().forEach(run -> builder.addRuns(finish(run)));
    return builder.build();
  }

  private static io.mothrill.wire.peer.generated.SoleClaim soleClaim(SoleClaim claim) {
    return io.mothrill.wire.peer.generated.SoleClaim.newBuilder()
        .setKey(key(claim.key()))
        .setRequestId(claim.requestId())
        .build();
  }

  private static void encodeRecord(Envelope.Builder envelope, PeerMessage message) {
    if (message instanceof PeerMessage.ClaimRequest claim) {
      envelope.setClaimRequest(claim(claim));
    } else if (message instanceof PeerMessage.ClaimReply reply) {
      var builder = envelope.getClaimReplyBuilder();
      builder.setVerdict(reply.verdict().name()).setRunner(reply.runner());
      reply.answer().ifPresent(answer -> builder.setAnswer(answer(answer)));
    } else if (message instanceof PeerMessage.FinishRequest finish) {
      envelope.setFinishRequest(finish(finish));
    } else if (message instanceof PeerMessage.FinishReply reply) {
      envelope.getFinishReplyBuilder().setVerdict(reply.verdict().name());
    } else if (message instanceof PeerMessage.BillsPosted posted) {
      var builder = envelope.getBillsPostedBuilder();
      posted.keys().forEach(key -> builder.addKeys(key(key)));
    } else if (message instanceof PeerMessage.AnswerRequest request) {
      envelope.getAnswerRequestBuilder().setKey(key(request.key()));
    } else if (message instanceof PeerMessage.AnswerReply reply) {
      var builder = envelope.getAnswerReplyBuilder().setPending(reply.pending());
      reply.answer().ifPresent(answer -> builder.setAnswer(answer(answer)));
    }
  }

  private static Instance instance(InstanceRecord record) {
    return Instance.newBuilder()
        .setId(record.id())
        .setIncarnation(record.incarnation())
        .setDomain(record.domain())
        .setHost(record.host())
        .setPeerPort(record.peerPort())
        .setLeaving(record.leaving())
        .build();
  }

  private io.mothrill.wire.peer.generated.Change change(Change change) {
    return io.mothrill.wire.peer.generated.Change.newBuilder()
        .setRevision(change.revision())
        .setKind(change.kind().title())
        .setName(change.name())
        .setResourceJson(change.resource().map(resources::encode).orElse(""))
        .setChangeId(change.changeId())
        .setWho(change.who())
        .setWallMs(change.wallMs())
        .build();
  }

  private static io.mothrill.wire.peer.generated.RequestKey key(RequestKey key) {
    return io.mothrill.wire.peer.generated.RequestKey.newBuilder()
        .setTeam(key.team())
        .setKey(key.key())
        .build();
  }

  private static io.mothrill.wire.peer.generated.StoredAnswer answer(StoredAnswer answer) {
    return io.mothrill.wire.peer.generated.StoredAnswer.newBuilder()
        .setStatus(answer.status())
        .setContentType(answer.contentType())
        .setBody(ByteString.copyFrom(answer.body()))
        .build();
  }

  private static io.mothrill.wire.peer.generated.ClaimRequest claim(
      PeerMessage.ClaimRequest claim) {
    return io.mothrill.wire.peer.generated.ClaimRequest.newBuilder()
        .setKey(key(claim.key()))
        .setRunner(claim.runner())
        .setRequestId(claim.requestId())
        .setFingerprint(claim.fingerprint())
        .setRepeatable(claim.repeatable())
        .build();
  }

  private static io.mothrill.wire.peer.generated.FinishRequest finish(
      PeerMessage.FinishRequest finish) {
    var builder =
        io.mothrill.wire.peer.generated.FinishRequest.newBuilder()
            .setKey(key(finish.key()))
            .setRequestId(finish.requestId())
            .setRunner(finish.runner())
            .setFingerprint(finish.fingerprint())
            .setNotRun(finish.notRun());
    finish.answer().ifPresent(answer -> builder.setAnswer(answer(answer)));
    finish.bill().ifPresent(bill -> builder.setBill(bill(bill)));
    return builder.build();
  }

  private static io.mothrill.wire.peer.generated.Bill bill(Bill bill) {
    var builder = io.mothrill.wire.peer.generated.Bill.newBuilder();
    bill.parts()
        .forEach(
            part ->
                builder
                    .addPartsBuilder()
                    .setAllotment(part.allotment().toString())
                    .setTokens(part.tokens()));
    return builder.build();
  }
}
