package io.mothrill.wire.peer;

import io.mothrill.core.forward.lease.LeaseMessage;
import io.mothrill.core.forward.lease.LeaseMessage.State;
import io.mothrill.core.forward.lease.LeaseMessage.Verdict;
import io.mothrill.wire.peer.generated.LeaseNotice;
import io.mothrill.wire.peer.generated.LeaseReply;
import io.mothrill.wire.peer.generated.LeaseRequest;
import io.mothrill.wire.peer.generated.LeaseUpdate;
import java.util.Optional;
import java.util.OptionalInt;

/** Converts messages about leases from and to protobuf. */
final class LeaseNoticeCodec {

  /** Longer than any request lasts; a lease that is not returned expires after it. */
  private static final long MAX_VALID_MS = 3_600_000;

  private LeaseNoticeCodec() {}

  static LeaseNotice write(LeaseMessage message) {
    LeaseNotice.Builder notice =
        LeaseNotice.newBuilder()
            .setLeaseId(message.leaseId())
            .setIncarnation(message.incarnation());
    if (message instanceof LeaseMessage.Request request) {
      notice.setRequest(
          LeaseRequest.newBuilder()
              .setMaxPerS(request.maxPerS())
              .setValidMs(Math.min(MAX_VALID_MS, request.validMs()))
              .setToSubstitute(request.toSubstitute()));
    } else if (message instanceof LeaseMessage.Reply reply) {
      notice.setReply(LeaseReply.newBuilder().setVerdict(write(reply.verdict())));
    } else if (message instanceof LeaseMessage.Update update) {
      LeaseUpdate.Builder written = LeaseUpdate.newBuilder().setState(write(update.state()));
      update.requestCount().ifPresent(written::setRequestCount);
      notice.setUpdate(written);
    }
    return notice.build();
  }

  private static LeaseReply.Verdict write(Verdict verdict) {
    return switch (verdict) {
      case GRANTED -> LeaseReply.Verdict.VERDICT_GRANTED;
      case DENIED -> LeaseReply.Verdict.VERDICT_DENIED;
      case NOT_COORDINATOR -> LeaseReply.Verdict.VERDICT_NOT_COORDINATOR;
    };
  }

  private static LeaseUpdate.State write(State state) {
    return switch (state) {
      case ANSWERING -> LeaseUpdate.State.STATE_ANSWERING;
      case ENDED -> LeaseUpdate.State.STATE_ENDED;
      case TURNED_AWAY -> LeaseUpdate.State.STATE_TURNED_AWAY;
    };
  }

  /** Parses a message; empty when no instance of this release can have sent it. */
  static Optional<LeaseMessage> read(LeaseNotice notice) {
    if (notice.getIncarnation().length() > UpstreamNoticeCodec.MAX_NAME_CHARS) {
      return Optional.empty();
    }
    return switch (notice.getKindCase()) {
      case REQUEST -> readRequest(notice, notice.getRequest());
      case REPLY ->
          readVerdict(notice.getReply().getVerdict())
              .map(
                  verdict ->
                      new LeaseMessage.Reply(
                          notice.getLeaseId(), notice.getIncarnation(), verdict));
      case UPDATE -> readUpdate(notice, notice.getUpdate());
      default -> Optional.empty();
    };
  }

  private static Optional<LeaseMessage> readRequest(LeaseNotice notice, LeaseRequest request) {
    boolean valid =
        request.getMaxPerS() >= 0
            && request.getValidMs() >= 0
            && request.getValidMs() <= MAX_VALID_MS;
    return valid
        ? Optional.of(
            new LeaseMessage.Request(
                notice.getLeaseId(),
                notice.getIncarnation(),
                request.getMaxPerS(),
                request.getValidMs(),
                request.getToSubstitute()))
        : Optional.empty();
  }

  private static Optional<Verdict> readVerdict(LeaseReply.Verdict verdict) {
    return switch (verdict) {
      case VERDICT_GRANTED -> Optional.of(Verdict.GRANTED);
      case VERDICT_DENIED -> Optional.of(Verdict.DENIED);
      case VERDICT_NOT_COORDINATOR -> Optional.of(Verdict.NOT_COORDINATOR);
      default -> Optional.empty();
    };
  }

  private static Optional<LeaseMessage> readUpdate(LeaseNotice notice, LeaseUpdate update) {
    return LoadNoticeCodec.isCount(update.getRequestCount())
        ? readState(update.getState())
            .map(
                state ->
                    new LeaseMessage.Update(
                        notice.getLeaseId(),
                        notice.getIncarnation(),
                        state,
                        update.hasRequestCount()
                            ? OptionalInt.of(update.getRequestCount())
                            : OptionalInt.empty()))
        : Optional.empty();
  }

  private static Optional<State> readState(LeaseUpdate.State state) {
    return switch (state) {
      case STATE_ANSWERING -> Optional.of(State.ANSWERING);
      case STATE_ENDED -> Optional.of(State.ENDED);
      case STATE_TURNED_AWAY -> Optional.of(State.TURNED_AWAY);
      default -> Optional.empty();
    };
  }
}
