package io.mothrill.daemon.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Builds a log message of named fields, which the writer inserts into the JSON line unchanged.
 *
 * <pre>{@code
 * Logger.info(LogFields.event("request").with("id", id).with("tookMs", 12).toString());
 * }</pre>
 */
public final class LogFields {

  private static final String START = "{\"event\":\"";

  private final StringBuilder text = new StringBuilder(START);

  private LogFields(String event) {
    text.append(event).append('"');
  }

  /**
   * Starts a message.
   *
   * @param event the name of the event
   * @return the builder
   */
  public static LogFields event(String event) {
    return new LogFields(event);
  }

  /**
   * Adds a string field.
   *
   * @param name the field
   * @param value the value; omitted when empty
   * @return this
   */
  public LogFields with(String name, String value) {
    if (!value.isEmpty()) {
      text.append(",\"").append(name).append("\":\"");
      JsonStringEncoder.getInstance().quoteAsString(value, text);
      text.append('"');
    }
    return this;
  }

  /**
   * Adds an integer field.
   *
   * @param name the field
   * @param value the value
   * @return this
   */
  public LogFields with(String name, long value) {
    text.append(",\"").append(name).append("\":").append(value);
    return this;
  }

  /**
   * Checks whether a message was built by this class.
   *
   * @param message a log message
   * @return true when the message consists of fields
   */
  static boolean isFields(String message) {
    return message.startsWith(START) && message.endsWith("}");
  }

  @Override
  public String toString() {
    return text + "}";
  }
}
