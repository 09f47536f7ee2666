package io.mothrill.core.request;

import io.mothrill.core.peer.PeerMessage.ClaimReply;
import io.mothrill.core.peer.PeerMessage.ClaimReply.Verdict;
import java.util.Optional;

/**
 * Starts a request with an idempotency key of the caller: runs it, waits for another run in flight,
 * or replays a stored answer.
 */
final class KeyedStart {

  private static final int MAX_CLAIMS = 6;
  private static final long CLAIM_RETRY_DELAY_MS = 1_000;

  private final ExchangeContext context;
  private final CallPlan plan;
  private final CallerStream caller;
  private final Exchange exchange;
  private int claims;

  KeyedStart(ExchangeContext context, CallPlan plan, CallerStream caller, Exchange exchange) {
    this.context = context;
    this.plan = plan;
    this.caller = caller;
    this.exchange = exchange;
  }

  void claim() {
    claims++;
    var unused =
        context.records().claim(plan).thenAccept(reply -> caller.execute(() -> onClaim(reply)));
  }

  private void onClaim(ClaimReply reply) {
    if (exchange.isFinished()) {
      abandon(reply);
      return;
    }
    switch (reply.verdict()) {
      case RUN -> exchange.onClaimed();
      case JOIN -> join(reply.runner());
      case REPLAY -> exchange.replay(reply.answer());
      case MISMATCH -> exchange.refuse(Refusal.keyReused());
      case OUTCOME_UNKNOWN -> exchange.refuse(Refusal.outcomeUnknown());
      default -> exchange.refuse(Refusal.claimUnavailable());
    }
  }

  private void join(String runner) {
    var unused =
        context
            .answers()
            .join(plan.key(), runner)
            .handle((found, error) -> error == null ? found : Optional.<StoredAnswer>empty())
            .thenAccept(found -> caller.execute(() -> onJoined(found)));
  }

  /**
   * Replays the answer of the run that was joined. When that run or its instance failed, the claim
   * is retried after the time that it takes to detect an instance failure.
   */
  private void onJoined(Optional<StoredAnswer> storedAnswer) {
    if (exchange.isFinished()) {
      return;
    }
    if (storedAnswer.isPresent()) {
      exchange.replay(storedAnswer);
    } else if (claims < MAX_CLAIMS) {
      context.timers().after(CLAIM_RETRY_DELAY_MS, () -> caller.execute(this::retryClaim));
    } else {
      exchange.refuse(Refusal.inProgress());
    }
  }

  private void retryClaim() {
    if (!exchange.isFinished()) {
      claim();
    }
  }

  /** Ends a run at once when it was granted after its request had been abandoned. */
  private void abandon(ClaimReply reply) {
    if (reply.verdict() == Verdict.RUN) {
      var unused = context.records().finish(plan, RunOutcome.failed(true));
    }
  }
}
