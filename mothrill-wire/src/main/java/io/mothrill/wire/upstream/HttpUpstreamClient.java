package io.mothrill.wire.upstream;

import io.mothrill.core.routing.LoadReport;
import io.mothrill.core.time.Timers;
import io.mothrill.core.upstream.UpstreamCall;
import io.mothrill.core.upstream.UpstreamClient;
import io.mothrill.core.upstream.UpstreamExchange;
import io.mothrill.core.upstream.UpstreamFailure;
import io.mothrill.core.upstream.UpstreamFailure.Kind;
import io.mothrill.core.upstream.UpstreamListener;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HeaderNumbers;
import io.mothrill.wire.http.HttpCall;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpSink;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Locale;

/** Calls upstreams over HTTP; urgent and batch calls never share a connection. */
public final class HttpUpstreamClient implements UpstreamClient {

  private final HttpClient http;
  private final Timers timers;

  /**
   * Creates the client.
   *
   * @param http the HTTP client
   * @param timers the timer service
   */
  public HttpUpstreamClient(HttpClient http, Timers timers) {
    this.http = http;
    this.timers = timers;
  }

  @Override
  public UpstreamExchange send(UpstreamCall call, UpstreamListener listener) {
    String priority = call.priority().name().toLowerCase(Locale.ROOT);
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(UpstreamHeaders.REQUEST_ID, call.requestId());
    headers.set(UpstreamHeaders.PRIORITY, priority);
    if (!call.contentType().isEmpty()) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, call.contentType());
    }
    HttpCall sent =
        new HttpCall(
            new Address(call.target().host(), call.target().port()),
            priority,
            HttpMethod.valueOf(call.method()),
            call.path(),
            headers,
            call.body().forUpstream(call.maxOutputTokens()),
            call.freshConnection(),
            call.stallMs());
    HttpClient.Handle handle = http.send(sent, new ResponseSink(call, listener));
    return new UpstreamExchange() {
      @Override
      public void cancel() {
        handle.cancel();
      }

      @Override
      public void setReading(boolean reading) {
        handle.setReading(reading);
      }
    };
  }

  private final class ResponseSink implements HttpSink {
    private final UpstreamCall call;
    private final UpstreamListener listener;
    private final UsageReader usage;
    private boolean isIdentified;

    ResponseSink(UpstreamCall call, UpstreamListener listener) {
      this.call = call;
      this.listener = listener;
      this.usage = new UsageReader(call.streamed());
    }

    @Override
    public boolean onHead(HttpResponse head) {
      HttpHeaders headers = head.headers();
      reportLoad(headers);
      String echoed = headers.get(UpstreamHeaders.REQUEST_ID);
      isIdentified = echoed != null;
      if (echoed != null && !echoed.equals(call.requestId())) {
        fail(Kind.BROKEN, "the answer belongs to request " + echoed);
        return false;
      }
      boolean leaving = headers.contains(UpstreamHeaders.LEAVING, "true", true);
      if (headers.contains(UpstreamHeaders.NOT_RUN, "true", true)) {
        listener.onFailure(
            new UpstreamFailure(
                leaving ? Kind.LEAVING : Kind.REFUSED,
                "refused with status " + head.status().code(),
                HeaderNumbers.retryAfterMs(headers.get(HttpHeaderNames.RETRY_AFTER, ""))));
        return false;
      }
      if (leaving) {
        listener.onLeaving();
      }
      listener.onHead(
          head.status().code(), headers.get(HttpHeaderNames.CONTENT_TYPE, "application/json"));
      return true;
    }

    private void reportLoad(HttpHeaders headers) {
      if (headers.contains(UpstreamHeaders.LOAD_RUNNING)) {
        listener.onLoad(
            new LoadReport(
                headers.getInt(UpstreamHeaders.LOAD_RUNNING, 0),
                headers.getInt(UpstreamHeaders.LOAD_QUEUED, 0),
                headers.contains(UpstreamHeaders.LEAVING, "true", true),
                timers.nowMs()));
      }
    }

    private void fail(Kind kind, String detail) {
      listener.onFailure(new UpstreamFailure(kind, detail));
    }

    @Override
    public void onBody(byte[] bytes) {
      usage.read(bytes);
      listener.onChunk(bytes, usage.usage());
    }

    /**
     * Ends the call. The connection of a response without an id is not used again, as a second
     * response to this call would be taken for the response to the next one.
     */
    @Override
    public void onEnd() {
      usage.finish();
      if (usage.isComplete()) {
        listener.onChunk(new byte[0], usage.usage());
        listener.onEnd();
      } else {
        fail(Kind.BROKEN, "the stream ended early");
      }
      if (!isIdentified) {
        throw new IllegalStateException("the response has no request id");
      }
    }

    @Override
    public void onFailure(boolean sent, String detail) {
      fail(sent ? Kind.BROKEN : Kind.NOT_SENT, detail);
    }
  }
}
