package io.mothrill.wire.forward;

import io.mothrill.core.forward.plan.TeamPlan;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Builds the request to an upstream; method, target and body are passed on unchanged. */
final class UpstreamRequest {

  private static final int MAX_URGENCY = 9;

  private UpstreamRequest() {}

  static DefaultFullHttpRequest of(
      AdmittedRequest work, String upstreamId, OptionalLong lastEventId) {
    UpstreamRequestContext send =
        new UpstreamRequestContext(
            upstreamId,
            work.team().map(TeamPlan::name),
            OptionalLong.of(work.remainingMs()),
            urgency(work),
            lastEventId.isPresent() ? lastEventId : work.call().lastEventId());
    HttpHeaders fromCaller = work.received().head().headers();
    HttpHeaders headers =
        work.received().dependencies().dialect().upstreamRequestHeaders(fromCaller, send);
    if (work.received().body().isReadable()
        || fromCaller.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, work.received().body().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        work.received().head().method(),
        work.received().head().uri(),
        work.received().body().retainedDuplicate(),
        headers,
        new DefaultHttpHeaders());
  }

  /**
   * Returns the urgency: the team's priority takes precedence over the route's; plain requests have
   * none.
   */
  private static OptionalInt urgency(AdmittedRequest work) {
    if (work.call().prompt().isEmpty()) {
      return OptionalInt.empty();
    }
    OptionalInt ofTeam = work.team().map(TeamPlan::priority).orElse(OptionalInt.empty());
    return OptionalInt.of(Math.min(MAX_URGENCY, ofTeam.orElse(work.route().priority())));
  }
}
