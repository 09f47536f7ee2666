package io.mothrill.core.forward.answer;

import io.mothrill.core.forward.limit.AnnouncedRateLimits;
import io.mothrill.core.forward.limit.RejectionBudgets;
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

  private final WarmUpListener warmUpListener;
  private final AnnouncedRateLimits limits;
  private final LeavingUpstreams leaving;
  private final UpstreamStatusBroadcast statusBroadcast;
  private final UpstreamBackoffs backoffs;
  private final RejectionBudgets rejectionBudgets;

  /**
   * Creates a dispatcher.
   *
   * @param warmUpListener notified of warm-ups
   * @param limits notified of announced rate limits
   * @param leaving counts requests to upstreams that are leaving
   * @param statusBroadcast notified of upstreams that are leaving, and reports them to other
   *     instances
   * @param backoffs notified of requested backoffs
   * @param rejectionBudgets notified of brittle upstreams and what they turn away
   */
  public SelfReportDispatcher(
      WarmUpListener warmUpListener,
      AnnouncedRateLimits limits,
      LeavingUpstreams leaving,
      UpstreamStatusBroadcast statusBroadcast,
      UpstreamBackoffs backoffs,
      RejectionBudgets rejectionBudgets) {
    this.warmUpListener = warmUpListener;
    this.limits = limits;
    this.leaving = leaving;
    this.statusBroadcast = statusBroadcast;
    this.backoffs = backoffs;
    this.rejectionBudgets = rejectionBudgets;
  }

  /**
   * Called when an answer has arrived.
   *
   * @param upstream the upstream that answered
   * @param sentMs the time at which the answered request was written
   * @param report the state announced in the answer
   */
  public void onAnswer(RegisteredUpstream upstream, long sentMs, SelfReport report) {
    report
        .warmUpRemainingMs()
        .ifPresent(remainingMs -> warmUpListener.onWarmUpReported(upstream, remainingMs));
    limits.onAnswer(upstream, sentMs, report.limitPerS());
    rejectionBudgets.onAnswer(upstream, sentMs, report.maxRejectionsPerS(), report.turnedAway());
    if (report.leaving()) {
      statusBroadcast.onDetected(upstream, UpstreamStatus.LEAVING);
    }
    report.backoffMs().ifPresent(backoffMs -> backoffs.onBackoffRequested(upstream, backoffMs));
  }

  /**
   * Called when a request is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(RegisteredUpstream upstream) {
    limits.onSent(upstream);
    leaving.onSent(upstream);
    backoffs.onSent(upstream);
  }
}
