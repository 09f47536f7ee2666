package io.mothrill.core.forward.answer;

import io.mothrill.core.forward.limit.AnnouncedRateLimits;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamBackoffs;
import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.forward.upstream.UpstreamStatusBroadcast;
import io.mothrill.core.forward.upstream.WarmUpListener;

/**
 * Forwards the state that upstreams announce in their answers to the components that use it.
 *
 * <pre>{@code
 * reports.onAnswer(upstream, sentMs, metadata.selfReport());
 * }</pre>
 */
public final class SelfReportDispatcher {

  private final WarmUpListener warmUps;
  private final AnnouncedRateLimits limits;
  private final LeavingUpstreams leaving;
  private final UpstreamStatusBroadcast news;
  private final UpstreamBackoffs resting;

  /**
   * Creates a dispatcher.
   *
   * @param warmUps notified of warm-ups
   * @param limits notified of announced rate limits
   * @param leaving counts requests to upstreams that are leaving
   * @param news notified of upstreams that are leaving, and reports them to other instances
   * @param resting notified of requested backoffs
   */
  public SelfReportDispatcher(
      WarmUpListener warmUps,
      AnnouncedRateLimits limits,
      LeavingUpstreams leaving,
      UpstreamStatusBroadcast news,
      UpstreamBackoffs resting) {
    this.warmUps = warmUps;
    this.limits = limits;
    this.leaving = leaving;
    this.news = news;
    this.resting = resting;
  }

  /**
   * Called when an answer has arrived.
   *
   * @param upstream the upstream that answered
   * @param sentMs the time at which the answered request was written
   * @param report the state announced in the answer
   */
  public void onAnswer(RegisteredUpstream upstream, long sentMs, SelfReport report) {
    report.warmUpRemainingMs().ifPresent(leftMs -> warmUps.onWarmUpReported(upstream, leftMs));
    limits.onAnswer(upstream, sentMs, report.limitPerS());
    if (report.leaving()) {
      news.onDetected(upstream, UpstreamStatus.LEAVING);
    }
    report.backoffMs().ifPresent(restMs -> resting.onBackoffRequested(upstream, restMs));
  }

  /**
   * Called when a request is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    limits.onSent(upstream);
    leaving.onSent(upstream);
    resting.onSent(upstream);
  }
}
