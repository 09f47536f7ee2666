package io.mothrill.core.forward.answer;

import io.mothrill.core.forward.limit.AnnouncedRateLimits;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamBackoffs;
import io.mothrill.core.forward.upstream.UpstreamStatus;
import io.mothrill.core.forward.upstream.UpstreamStatusBroadcast;
import io.mothrill.core.forward.upstream.WarmUpListener;

/**
 * Passes on what upstreams say of themselves in their answers, each part to what decides by it.
 *
 * <pre>{@code
 * reports.onAnswer(upstream, sentMs, marks.self());
 * }</pre>
 */
public final class SelfReportDispatcher {

  private final WarmUpListener warmUps;
  private final AnnouncedRateLimits limits;
  private final LeavingUpstreams leaving;
  private final UpstreamStatusBroadcast news;
  private final UpstreamBackoffs resting;

  /**
   * Creates the place that all answers are reported to.
   *
   * @param warmUps gets what is said about warming up
   * @param limits gets the limits that upstreams name
   * @param leaving knows the upstreams that leave
   * @param news gets the upstreams that leave, and tells other instances
   * @param resting gets the upstreams that ask for rest
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
   * Takes what one answer says.
   *
   * @param upstream the upstream that has answered
   * @param sentMs when the request was written that it answers
   * @param report what it says of itself
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
   * Notes a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    limits.onSent(upstream);
    leaving.onSent(upstream);
    resting.onSent(upstream);
  }
}
