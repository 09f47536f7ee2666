package io.mothrill.wire.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.io.ByteArrayOutputStream;
import java.io.CharConversionException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Parses and serializes JSON trees.
 *
 * <p>Trees are built from and written as a token stream, without an {@code ObjectMapper}: a mapper
 * initializes calendars and locales that trees do not need. That would delay process start by about
 * 200 ms, during which callers wait.
 */
public final class Json {

  /**
   * Deeper than any expected document, and shallow enough for the small stacks of event loop
   * threads.
   */
  private static final int MAX_DEPTH = 100;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .build();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private Json() {}

  /**
   * Parses a JSON value.
   *
   * @param bytes UTF-8 text
   * @return the value
   * @throws InvalidInputException when the text is not JSON
   */
  public static JsonNode read(byte[] bytes) {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      return checked(JsonTrees.readSingleValue(parser, NODES));
    } catch (JsonProcessingException ex) {
      throw InvalidInputException.of(FieldError.refused("$", "is not JSON: " + where(ex)));
    } catch (CharConversionException ex) {
      throw InvalidInputException.of(FieldError.refused("$", "is not JSON: " + ex.getMessage()));
    } catch (IOException ex) {
      throw new IllegalStateException("reading from memory cannot fail", ex);
    }
  }

  /**
   * Parses a JSON value.
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
   * Creates an empty object.
   *
   * @return the object
   */
  public static ObjectNode object() {
    return NODES.objectNode();
  }

  /**
   * Creates an empty array.
   *
   * @return the array
   */
  public static ArrayNode array() {
    return NODES.arrayNode();
  }

  /**
   * Serializes a value on one line.
   *
   * @param node the value
   * @return UTF-8 text
   */
  public static byte[] bytes(JsonNode node) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
      JsonTrees.write(node, generator);
    } catch (IOException ex) {
      throw new IllegalStateException("writing to memory cannot fail", ex);
    }
    return bytes.toByteArray();
  }
}
