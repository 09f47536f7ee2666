package io.mothrill.wire.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.InvalidInputException;
import io.mothrill.core.request.CallRequest;
import io.mothrill.core.request.Refusal;
import io.mothrill.core.request.error.RefusedException;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.ServiceType;
import io.mothrill.core.upstream.CallBody;
import io.mothrill.wire.http.HttpServerRequest;
import io.mothrill.wire.json.Json;
import io.mothrill.wire.json.JsonFields;
import io.mothrill.wire.json.NameFormat;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.commons.codec.digest.DigestUtils;

/** Parses callers' requests: chat completions and calls to plain services. */
final class CallerRequestReader {

  static final String CHAT_PATH = "/v1/chat/completions";
  static final String SERVICES = "services";

  private static final String BEARER = "Bearer ";
  private static final long MAX_OUTPUT_TOKENS = 10_000_000;
  private static final int AFFINITY_CHARS = 256;
  private static final int OVERHEAD_TOKENS_PER_MESSAGE = 16;
  private static final byte[] EMPTY_BYTES = new byte[0];
  private static final byte[] TRUNCATED_STREAM_END =
      """
      data: {"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}

      data: [DONE]

      """
          .getBytes(StandardCharsets.UTF_8);

  private CallerRequestReader() {}

  /**
   * Parses a request.
   *
   * @param input the received request
   * @return the parsed request
   * @throws RefusedException when the request is invalid or its path is unknown
   */
  static CallRequest read(HttpServerRequest input) {
    try {
      List<String> segments = input.segments();
      if (input.path().equals(CHAT_PATH)) {
        return readChat(input);
      }
      if (segments.size() >= 2 && segments.get(0).equals(SERVICES)) {
        return readPlain(input, segments.get(1));
      }
      throw new RefusedException(Refusal.unknownPath(input.path()));
    } catch (InvalidInputException ex) {
      throw new RefusedException(Refusal.badRequest(ex.getMessage()));
    }
  }

  private static CallRequest readChat(HttpServerRequest input) {
    if (!input.method().equals("POST")) {
      throw new RefusedException(Refusal.methodNotAllowed(input.method()));
    }
    JsonNode body = Json.read(input.body());
    JsonFields fields = JsonFields.of(body, "");
    String model = fields.text("model");
    List<JsonNode> messages = fields.lenientObjects("messages");
    if (messages.isEmpty()) {
      fields.refuse("messages", "must have at least one message");
    }
    OptionalLong cap = fields.optionalNumber("max_tokens", 1, MAX_OUTPUT_TOKENS);
    OptionalLong otherCap = fields.optionalNumber("max_completion_tokens", 1, MAX_OUTPUT_TOKENS);
    boolean streamed = fields.flag("stream", false);
    fields.finishLenient();
    return request(
        input,
        ServiceType.MODEL,
        model,
        maxPromptTokens(body.path("messages")),
        otherCap.isPresent() ? otherCap : cap,
        streamed,
        affinity(messages),
        CHAT_PATH,
        new ChatBody(body),
        TRUNCATED_STREAM_END);
  }

  /**
   * Returns an upper bound of the prompt's tokens: no tokenizer produces more tokens than the text
   * has bytes.
   */
  private static long maxPromptTokens(JsonNode messages) {
    return Json.bytes(messages).length + (long) OVERHEAD_TOKENS_PER_MESSAGE * messages.size();
  }

  private static String affinity(List<JsonNode> messages) {
    String first = messages.get(0).path("content").asText();
    return first.substring(0, Math.min(AFFINITY_CHARS, first.length()));
  }

  private static CallRequest readPlain(HttpServerRequest input, String service) {
    byte[] body = input.body();
    String rest = input.uri().substring(("/" + SERVICES + "/" + service).length());
    return request(
        input,
        ServiceType.PLAIN,
        service,
        0,
        OptionalLong.empty(),
        false,
        "",
        rest.isEmpty() ? "/" : rest,
        cap -> body,
        EMPTY_BYTES);
  }

  private static CallRequest request(
      HttpServerRequest input,
      ServiceType type,
      String service,
      long promptLimitTokens,
      OptionalLong cap,
      boolean streamed,
      String affinity,
      String path,
      CallBody body,
      byte[] truncatedStreamEnd) {
    HttpHeaders headers = input.headers();
    return new CallRequest(
        bearer(headers),
        type,
        service,
        idempotencyKey(headers),
        priority(headers),
        headers.contains(CallerHeaders.UNREPEATABLE, "true", true),
        Optional.ofNullable(headers.get(CallerHeaders.BUDGET)),
        promptLimitTokens,
        cap,
        streamed,
        affinity,
        fingerprint(input),
        input.method(),
        path,
        headers.get(HttpHeaderNames.CONTENT_TYPE, ""),
        body,
        truncatedStreamEnd);
  }

  static String bearer(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
    return value.startsWith(BEARER) ? value.substring(BEARER.length()).trim() : "";
  }

  private static Optional<String> idempotencyKey(HttpHeaders headers) {
    Optional<String> key = Optional.ofNullable(headers.get(CallerHeaders.IDEMPOTENCY_KEY));
    if (key.isPresent() && !NameFormat.isValid(key.get())) {
      throw new RefusedException(Refusal.badRequest("Idempotency-Key " + NameFormat.RULE));
    }
    return key;
  }

  private static Optional<Priority> priority(HttpHeaders headers) {
    String word = headers.get(CallerHeaders.PRIORITY, "").toLowerCase(Locale.ROOT);
    return switch (word) {
      case "" -> Optional.empty();
      case "urgent" -> Optional.of(Priority.URGENT);
      case "batch" -> Optional.of(Priority.BATCH);
      default ->
          throw new RefusedException(
              Refusal.badRequest(CallerHeaders.PRIORITY + " must be urgent or batch"));
    };
  }

  private static String fingerprint(HttpServerRequest input) {
    String head = input.method() + " " + input.uri() + "\n";
    return DigestUtils.sha256Hex(head + DigestUtils.sha256Hex(input.body()));
  }
}
