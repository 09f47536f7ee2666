package io.mothrill.wire.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The one JSON mapper of the product. */
public final class Json {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /**
   * Reads a JSON value.
   *
   * @param bytes UTF-8 text
   * @return the value
   * @throws InvalidInputException when the text is not JSON
   */
  public static JsonNode read(byte[] bytes) {
    try {
      return checked(MAPPER.readTree(bytes));
    } catch (JsonProcessingException ex) {
      throw InvalidInputException.of(FieldError.refused("$", "is not JSON: " + where(ex)));
    } catch (IOException ex) {
      throw new IllegalStateException("reading from memory cannot fail", ex);
    }
  }

  /**
   * Reads a JSON value.
   *
   * @param text the text
   * @return the value
   * @throws InvalidInputException when the text is not JSON
   */
  public static JsonNode read(String text) {
    return read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static JsonNode checked(JsonNode node) {
    if (node == null || node.isMissingNode()) {
      throw InvalidInputException.of(FieldError.refused("$", "is empty"));
    }
    return node;
  }

  private static String where(JsonProcessingException ex) {
    var location = ex.getLocation();
    String place =
        location == null
            ? ""
            : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
    return ex.getOriginalMessage() + place;
  }

  /**
   * Starts an object.
   *
   * @return an empty object
   */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Starts an array.
   *
   * @return an empty array
   */
  public static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  /**
   * Writes a value on one line.
   *
   * @param node the value
   * @return UTF-8 text
   */
  public static byte[] bytes(JsonNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }
}
