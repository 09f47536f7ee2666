package io.mothrill.wire.json;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/** Converts between JSON tokens and trees. */
final class JsonTrees {

  private JsonTrees() {}

  /** Reads one value and checks that nothing follows it; returns null for empty input. */
  static JsonNode readSingleValue(JsonParser parser, JsonNodeFactory nodes) throws IOException {
    if (parser.nextToken() == null) {
      return null;
    }
    JsonNode node = readValue(parser, nodes);
    if (parser.nextToken() != null) {
      throw new JsonParseException(parser, "something follows the value");
    }
    return node;
  }

  private static JsonNode readValue(JsonParser parser, JsonNodeFactory nodes) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser, nodes);
      case START_ARRAY -> readArray(parser, nodes);
      case VALUE_STRING -> nodes.textNode(parser.getText());
      case VALUE_NUMBER_INT -> readInteger(parser, nodes);
      case VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> nodes.booleanNode(true);
      case VALUE_FALSE -> nodes.booleanNode(false);
      case VALUE_NULL -> nodes.nullNode();
      default -> throw new JsonParseException(parser, "a value was expected");
    };
  }

  private static JsonNode readObject(JsonParser parser, JsonNodeFactory nodes) throws IOException {
    ObjectNode object = nodes.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, readValue(parser, nodes));
    }
    return object;
  }

  private static JsonNode readArray(JsonParser parser, JsonNodeFactory nodes) throws IOException {
    ArrayNode array = nodes.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser, nodes));
    }
    return array;
  }

  private static JsonNode readInteger(JsonParser parser, JsonNodeFactory nodes) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> nodes.numberNode(parser.getIntValue());
      case LONG -> nodes.numberNode(parser.getLongValue());
      default -> nodes.numberNode(parser.getBigIntegerValue());
    };
  }

  /** Writes a value as tokens. */
  static void write(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> writeObject(node, generator);
      case ARRAY -> writeArray(node, generator);
      case STRING -> generator.writeString(node.textValue());
      case NUMBER -> writeNumber(node, generator);
      case BOOLEAN -> generator.writeBoolean(node.booleanValue());
      default -> generator.writeNull();
    }
  }

  private static void writeObject(JsonNode object, JsonGenerator generator) throws IOException {
    generator.writeStartObject();
    Iterator<Map.Entry<String, JsonNode>> fields = object.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      generator.writeFieldName(field.getKey());
      write(field.getValue(), generator);
    }
    generator.writeEndObject();
  }

  private static void writeArray(JsonNode array, JsonGenerator generator) throws IOException {
    generator.writeStartArray();
    for (JsonNode element : array) {
      write(element, generator);
    }
    generator.writeEndArray();
  }

  private static void writeNumber(JsonNode number, JsonGenerator generator) throws IOException {
    if (number.isIntegralNumber() && number.canConvertToLong()) {
      generator.writeNumber(number.longValue());
    } else if (number.isIntegralNumber()) {
      generator.writeNumber(number.bigIntegerValue());
    } else {
      generator.writeNumber(number.doubleValue());
    }
  }
}
