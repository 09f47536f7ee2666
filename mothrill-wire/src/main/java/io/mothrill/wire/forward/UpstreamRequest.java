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
      AdmittedRequest admitted, String upstreamId, OptionalLong lastEventId) {
    UpstreamRequestContext context =
        new UpstreamRequestContext(
            upstreamId,
            admitted.team().map(TeamPlan::name),
            OptionalLong.of(admitted.remainingMs()),
            urgency(admitted),
            lastEventId.isPresent() ? lastEventId : admitted.call().lastEventId());
    HttpHeaders fromCaller = admitted.received().head().headers();
    HttpHeaders headers =
        admitted.received().dependencies().dialect().upstreamRequestHeaders(fromCaller, context);
    if (admitted.received().body().isReadable()
        || fromCaller.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, admitted.received().body().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        admitted.received().head().method(),
        admitted.received().head().uri(),
        admitted.received().body().retainedDuplicate(),
        headers,
        new DefaultHttpHeaders());
  }

  /**
   * Returns the urgency: the team's priority takes precedence over the route's; plain requests have
   * none.
   */
  private static OptionalInt urgency(AdmittedRequest admitted) {
    if (admitted.call().prompt().isEmpty()) {
      return OptionalInt.empty();
    }
    OptionalInt teamPriority = admitted.team().map(TeamPlan::priority).orElse(OptionalInt.empty());
    return OptionalInt.of(Math.min(MAX_URGENCY, teamPriority.orElse(admitted.route().priority())));
  }
}
