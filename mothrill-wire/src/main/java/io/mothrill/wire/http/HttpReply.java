package io.mothrill.wire.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.wire.json.Json;
import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer.
 *
 * @param status the status
 * @param contentType the media type of the body
 * @param body the body; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, String contentType, byte[] body) {

  /** The media type of JSON. */
  public static final String JSON = "application/json";

  /**
   * Answers with JSON.
   *
   * @param status the status
   * @param node the value
   * @return the answer
   */
  public static HttpReply json(int status, JsonNode node) {
    return new HttpReply(status, JSON, Json.bytes(node));
  }

  /**
   * Answers with plain text.
   *
   * @param status the status
   * @param text the text
   * @return the answer
   */
  public static HttpReply text(int status, String text) {
    return new HttpReply(
        status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Says whether the request was served.
   *
   * @return true for a status in the two hundreds
   */
  public boolean isSuccess() {
    return status / 100 == 2;
  }
}
