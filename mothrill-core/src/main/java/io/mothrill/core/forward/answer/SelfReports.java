package io.mothrill.core.forward.answer;

import io.mothrill.core.forward.limit.NamedLimits;
import io.mothrill.core.forward.upstream.LeavingUpstreams;
import io.mothrill.core.forward.upstream.RestingUpstreams;
import io.mothrill.core.forward.upstream.ServingUpstream;
import io.mothrill.core.forward.upstream.UpstreamFate;
import io.mothrill.core.forward.upstream.UpstreamNews;
import io.mothrill.core.forward.upstream.WarmUpSigns;

/**
 * Passes on what upstreams say of themselves in their answers, each part to what decides by it.
 *
 * <pre>{@code
 * reports.onAnswer(upstream, sentMs, marks.self());
 * }</pre>
 */
public final class SelfReports {

  private final WarmUpSigns warmUps;
  private final NamedLimits limits;
  private final LeavingUpstreams leaving;
  private final UpstreamNews news;
  private final RestingUpstreams resting;

  /**
   * Creates the place that all answers are reported to.
   *
   * @param warmUps gets what is said about warming up
   * @param limits gets the limits that upstreams name
   * @param leaving knows the upstreams that leave
   * @param news gets the upstreams that leave, and tells other instances
   * @param resting gets the upstreams that ask for rest
   */
  public SelfReports(
      WarmUpSigns warmUps,
      NamedLimits limits,
      LeavingUpstreams leaving,
      UpstreamNews news,
      RestingUpstreams resting) {
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
  public void onAnswer(ServingUpstream upstream, long sentMs, SelfReport report) {
    report.warmUpLeftMs().ifPresent(leftMs -> warmUps.onSaid(upstream, leftMs));
    limits.onAnswer(upstream, sentMs, report.limitPerS());
    if (report.leaving()) {
      news.onFound(upstream, UpstreamFate.LEAVING);
    }
    report.restMs().ifPresent(restMs -> resting.note(upstream, restMs));
  }

  /**
   * Notes a request that is written to an upstream.
   *
   * @param upstream the upstream
   */
  public void onSent(ServingUpstream upstream) {
    limits.onSent(upstream);
    leaving.onSent(upstream);
    resting.onSent(upstream);
  }
}
