package io.mothrill.lab.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.lab.standin.EngineText;
import io.mothrill.wire.caller.CallerHeaders;
import io.mothrill.wire.http.Address;
import io.mothrill.wire.http.HttpCall;
import io.mothrill.wire.http.HttpClient;
import io.mothrill.wire.http.HttpSink;
import io.mothrill.wire.json.Json;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Sends calls and checks that each answer is complete and belongs to its call. */
public final class CheckingCaller {

  private static final long STALL_MS = 60_000;
  private static final double NANOS_PER_MS = 1_000_000;

  private final HttpClient http;

  /**
   * Creates the caller.
   *
   * @param http the HTTP client
   */
  public CheckingCaller(HttpClient http) {
    this.http = http;
  }

  /**
   * Sends a call.
   *
   * @param to the address of an instance or an engine
   * @param call the call
   * @param scheduledNanos the scheduled start, by {@link System#nanoTime()}, from which latencies
   *     are measured
   * @return the result; never completes exceptionally
   */
  public CompletableFuture<CallResult> send(Address to, Call call, long scheduledNanos) {
    ResponseSink sink = new ResponseSink(call, scheduledNanos);
    http.send(
        new HttpCall(
            to,
            "load",
            HttpMethod.POST,
            "/v1/chat/completions",
            headersOf(call),
            Json.bytes(bodyOf(call)),
            false,
            STALL_MS),
        sink);
    return sink.result;
  }

  private static HttpHeaders headersOf(Call call) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + call.key());
    if (!call.priority().isEmpty()) {
      headers.set(CallerHeaders.PRIORITY, call.priority());
    }
    if (!call.idempotencyKey().isEmpty()) {
      headers.set(CallerHeaders.IDEMPOTENCY_KEY, call.idempotencyKey());
    }
    return headers;
  }

  private static ObjectNode bodyOf(Call call) {
    ObjectNode body =
        Json.object()
            .put("model", call.model())
            .put("max_tokens", call.maxTokens())
            .put("stream", call.streamed());
    body.putArray("messages").addObject().put("role", "user").put("content", call.prompt());
    return body;
  }

  private static final class ResponseSink implements HttpSink {
    private final Call call;
    private final long scheduledNanos;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private String requestId = "";
    private double firstByteMs;

    ResponseSink(Call call, long scheduledNanos) {
      this.call = call;
      this.scheduledNanos = scheduledNanos;
    }

    private double elapsedMs() {
      return (System.nanoTime() - scheduledNanos) / NANOS_PER_MS;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      requestId = head.headers().get(CallerHeaders.REQUEST_ID, "");
      return true;
    }

    @Override
    public void onBody(byte[] bytes) {
      if (body.size() == 0) {
        firstByteMs = elapsedMs();
      }
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      ParsedAnswer answer = ParsedAnswer.read(body.toByteArray(), call.streamed());
      boolean whole = status == 200 && isCompleteAndMatching(answer);
      result.complete(
          new CallResult(
              call,
              status,
              answer.code(),
              requestId,
              whole,
              answer.totalTokens(),
              firstByteMs,
              elapsedMs()));
    }

    private boolean isCompleteAndMatching(ParsedAnswer answer) {
      boolean ended = !call.streamed() || answer.done();
      return ended
          && answer.tokens() > 0
          && answer.text().equals(EngineText.answer(call.prompt(), answer.tokens()));
    }

    @Override
    public void onFailure(boolean sent, String detail) {
      result.complete(
          new CallResult(call, 0, detail, requestId, false, 0, firstByteMs, elapsedMs()));
    }
  }

  /** The parsed body of an answer. */
  private record ParsedAnswer(
      String text, int tokens, long totalTokens, boolean done, String code) {

    static ParsedAnswer read(byte[] body, boolean streamed) {
      String text = new String(body, StandardCharsets.UTF_8);
      try {
        return streamed && text.startsWith("data:") ? readStream(text) : readPlain(body);
      } catch (InvalidInputException ex) {
        return new ParsedAnswer("", 0, 0, false, "unreadable");
      }
    }

    private static ParsedAnswer readPlain(byte[] body) {
      JsonNode node = Json.read(body);
      JsonNode usage = node.path("usage");
      return new ParsedAnswer(
          node.path("choices").path(0).path("message").path("content").asText(),
          usage.path("completion_tokens").asInt(),
          usage.path("total_tokens").asLong(),
          true,
          node.path("error").path("code").asText());
    }

    private static ParsedAnswer readStream(String text) {
      StringBuilder content = new StringBuilder();
      int tokens = 0;
      long totalTokens = 0;
      boolean done = false;
      for (String line : text.split("\n", -1)) {
        if (line.equals("data: [DONE]")) {
          done = true;
        } else if (line.startsWith("data: ")) {
          JsonNode event = Json.read(line.substring("data: ".length()));
          content.append(event.path("choices").path(0).path("delta").path("content").asText());
          tokens = event.path("usage").path("completion_tokens").asInt(tokens);
          totalTokens = event.path("usage").path("total_tokens").asLong(totalTokens);
        }
      }
      return new ParsedAnswer(content.toString(), tokens, totalTokens, done, "");
    }
  }
}
