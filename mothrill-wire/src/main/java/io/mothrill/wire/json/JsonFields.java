package io.mothrill.wire.json;

import com.fasterxml.jackson.databind.JsonNode;
import io.mothrill.core.error.FieldError;
import io.mothrill.core.error.InvalidInputException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the fields of a JSON object and collects all errors.
 *
 * <pre>{@code
 * JsonFields fields = JsonFields.of(node, "spec");
 * String service = fields.text("service");
 * long slots = fields.number("slots", 1, 10_000);
 * fields.finish();                       // throws, listing every invalid field with its path
 * }</pre>
 */
public final class JsonFields {

  private final JsonNode node;
  private final String path;
  private final List<FieldError> errors;
  private final Set<String> knownNames = new HashSet<>();

  private JsonFields(JsonNode node, String path, List<FieldError> errors) {
    this.node = node;
    this.path = path;
    this.errors = errors;
    if (!node.isObject()) {
      errors.add(FieldError.wrongType(path.isEmpty() ? "$" : path, "an object"));
    }
  }

  /**
   * Creates a reader for an object.
   *
   * @param node the object
   * @param path the path of the object; empty for the root
   * @return the reader
   */
  public static JsonFields of(JsonNode node, String path) {
    return new JsonFields(node, path, new ArrayList<>());
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private Optional<JsonNode> find(String name) {
    knownNames.add(name);
    return Optional.ofNullable(node.get(name)).filter(value -> !value.isNull());
  }

  /**
   * Checks whether a field is present.
   *
   * @param name the field
   * @return true when the field has a non-null value
   */
  public boolean has(String name) {
    return find(name).isPresent();
  }

  /**
   * Reads a required string.
   *
   * @param name the field
   * @return the string; empty when the field is invalid
   */
  public String text(String name) {
    if (!has(name)) {
      errors.add(FieldError.missing(pathOf(name)));
    }
    return text(name, "");
  }

  /**
   * Reads an optional string.
   *
   * @param name the field
   * @param fallback the value when the field is absent
   * @return the string
   */
  public String text(String name, String fallback) {
    return find(name)
        .map(value -> value.isTextual() ? value.asText() : rejectType(name, "a text", fallback))
        .orElse(fallback);
  }

  /**
   * Reads a required name: letters, digits, dots, underscores and dashes.
   *
   * @param name the field
   * @return the name; empty when the field is invalid
   */
  public String name(String name) {
    String value = text(name);
    if (!value.isEmpty() && !NameFormat.isValid(value)) {
      errors.add(FieldError.refused(pathOf(name), NameFormat.RULE));
    }
    return value;
  }

  /**
   * Reads a required integer.
   *
   * @param name the field
   * @param min the minimum value
   * @param max the maximum value
   * @return the number; {@code min} when the field is invalid
   */
  public long number(String name, long min, long max) {
    if (!has(name)) {
      errors.add(FieldError.missing(pathOf(name)));
    }
    return number(name, min, max, min);
  }

  /**
   * Reads an optional integer.
   *
   * @param name the field
   * @param min the minimum value
   * @param max the maximum value
   * @param fallback the value when the field is absent
   * @return the number
   */
  public long number(String name, long min, long max, long fallback) {
    return find(name).map(value -> checkedNumber(name, value, min, max)).orElse(fallback);
  }

  /**
   * Reads an optional integer without a default.
   *
   * @param name the field
   * @param min the minimum value
   * @param max the maximum value
   * @return the number, or empty when the field is absent
   */
  public OptionalLong optionalNumber(String name, long min, long max) {
    return has(name) ? OptionalLong.of(number(name, min, max, min)) : OptionalLong.empty();
  }

  private long checkedNumber(String name, JsonNode value, long min, long max) {
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      return rejectType(name, "a whole number", min);
    }
    long number = value.asLong();
    if (number < min || number > max) {
      errors.add(FieldError.outOfRange(pathOf(name), min, max, number));
      return min;
    }
    return number;
  }

  /**
   * Reads an optional boolean.
   *
   * @param name the field
   * @param fallback the value when the field is absent
   * @return the boolean
   */
  public boolean flag(String name, boolean fallback) {
    return find(name)
        .map(
            value ->
                value.isBoolean() ? value.asBoolean() : rejectType(name, "true or false", fallback))
        .orElse(fallback);
  }

  /**
   * Reads an optional string out of a fixed set.
   *
   * @param name the field
   * @param values the allowed values
   * @param fallback the value when the field is absent
   * @return the value
   */
  public String choice(String name, List<String> values, String fallback) {
    String value = text(name, fallback);
    if (!values.contains(value)) {
      errors.add(FieldError.refused(pathOf(name), "must be one of " + String.join(", ", values)));
      return fallback;
    }
    return value;
  }

  /**
   * Reads an optional list of strings.
   *
   * @param name the field
   * @return the strings; empty when the field is absent
   */
  public List<String> texts(String name) {
    List<String> texts = new ArrayList<>();
    elementsOf(name)
        .forEach(
            element -> {
              if (element.value().isTextual()) {
                texts.add(element.value().asText());
              } else {
                errors.add(FieldError.wrongType(element.path(), "a text"));
              }
            });
    return texts;
  }

  /**
   * Reads an optional list of objects.
   *
   * @param name the field
   * @param reader reads one object; its errors are added to those of this reader
   * @param <T> the type that an object is read as
   * @return the result
   */
  public <T> List<T> objects(String name, Function<JsonFields, T> reader) {
    List<T> read = new ArrayList<>();
    elementsOf(name)
        .forEach(
            element -> {
              JsonFields fields = new JsonFields(element.value(), element.path(), errors);
              read.add(reader.apply(fields));
              fields.refuseUnknown();
            });
    return read;
  }

  private record Element(JsonNode value, String path) {}

  private List<Element> elementsOf(String name) {
    List<Element> elements = new ArrayList<>();
    Optional<JsonNode> list = find(name);
    if (list.isPresent() && !list.get().isArray()) {
      return rejectType(name, "a list", elements);
    }
    list.ifPresent(
        array -> {
          for (int index = 0; index < array.size(); index++) {
            elements.add(new Element(array.get(index), pathOf(name) + "[" + index + "]"));
          }
        });
    return elements;
  }

  /**
   * Reads an optional list of objects that may have unknown fields.
   *
   * @param name the field
   * @return the objects
   */
  public List<JsonNode> lenientObjects(String name) {
    List<JsonNode> read = new ArrayList<>();
    elementsOf(name)
        .forEach(
            element -> {
              read.add(element.value());
              if (!element.value().isObject()) {
                errors.add(FieldError.wrongType(element.path(), "an object"));
              }
            });
    return read;
  }

  /**
   * Reads a nested object; an absent one is read as empty.
   *
   * @param name the field
   * @param reader reads the object; its errors are added to those of this reader
   * @param <T> the type that the object is read as
   * @return the result
   */
  public <T> T object(String name, Function<JsonFields, T> reader) {
    JsonFields fields = new JsonFields(find(name).orElseGet(Json::object), pathOf(name), errors);
    T read = reader.apply(fields);
    fields.refuseUnknown();
    return read;
  }

  /**
   * Adds an error for a field.
   *
   * @param name the field
   * @param reason the reason, phrased to follow the path
   */
  public void refuse(String name, String reason) {
    errors.add(FieldError.refused(pathOf(name), reason));
  }

  /**
   * Finishes reading.
   *
   * @throws InvalidInputException when a field was invalid, missing or unknown
   */
  public void finish() {
    refuseUnknown();
    finishLenient();
  }

  /**
   * Finishes reading an object that may have unknown fields.
   *
   * @throws InvalidInputException when a field was invalid or missing
   */
  public void finishLenient() {
    if (!errors.isEmpty()) {
      throw new InvalidInputException(errors);
    }
  }

  private void refuseUnknown() {
    node.fieldNames()
        .forEachRemaining(
            name -> {
              if (!knownNames.contains(name)) {
                errors.add(FieldError.unknown(pathOf(name)));
              }
            });
  }

  private <T> T rejectType(String name, String expected, T fallback) {
    errors.add(FieldError.wrongType(pathOf(name), expected));
    return fallback;
  }
}
