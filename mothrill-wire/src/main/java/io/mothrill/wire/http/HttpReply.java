package io.mothrill.wire.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.wire.json.Json;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status the status
 * @param contentType the media type of the body
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpReply(int status, String contentType, byte[] body) {

  /** The media type of JSON. */
  public static final String JSON = "application/json";

  /**
   * Creates a JSON response.
   *
   * @param status the status
   * @param node the value
   * @return the response
   */
  public static HttpReply json(int status, JsonNode node) {
    return new HttpReply(status, JSON, Json.bytes(node));
  }

  /**
   * Creates a plain text response.
   *
   * @param status the status
   * @param text the text
   * @return the response
   */
  public static HttpReply text(int status, String text) {
    return new HttpReply(
        status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Checks whether the request succeeded.
   *
   * @return true for a 2xx status
   */
  public boolean isSuccess() {
    return status / 100 == 2;
  }
}
