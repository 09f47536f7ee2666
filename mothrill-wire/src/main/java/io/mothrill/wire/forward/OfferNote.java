package io.mothrill.wire.forward;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamLoad;

/** What was known of an upstream when it was chosen, for the line that tells what came of it. */
final class OfferNote {

  private final RegisteredUpstream upstream;
  private final long chosenMs;
  private final int underWay;
  private final long unreadTokens;
  private final long estimated;
  private boolean told;

  OfferNote(ForwardWork work, RegisteredUpstream upstream, UpstreamLoad load) {
    ForwardParts parts = work.arrival().parts();
    long nowMs = parts.timers().nowMs();
    this.upstream = upstream;
    this.chosenMs = nowMs - work.arrival().startMs();
    this.underWay = load.inFlightCount();
    this.unreadTokens = Math.round(load.pendingPrefillTokens(parts.speed().tokensPerMs(), nowMs));
    this.estimated = Math.round(load.estimatedCount(nowMs));
  }

  /** Adds what came of it; only the first word counts. */
  void tell(ForwardProgress progress, String result) {
    if (!told) {
      told = true;
      progress.offers.add(
          new ForwardLog.Offer(upstream.id(), chosenMs, underWay, unreadTokens, estimated, result));
    }
  }
}
