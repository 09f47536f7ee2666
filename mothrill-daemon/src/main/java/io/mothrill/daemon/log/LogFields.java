package io.mothrill.daemon.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Builds a log message of named fields, which the writer puts into the line as they are.
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
   * Begins a message.
   *
   * @param event what happened, in a word
   * @return the message so far
   */
  public static LogFields event(String event) {
    return new LogFields(event);
  }

  /**
   * Adds a text.
   *
   * @param name the field
   * @param value the text; left out when it is empty
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
   * Adds a number.
   *
   * @param name the field
   * @param value the number
   * @return this
   */
  public LogFields with(String name, long value) {
    text.append(",\"").append(name).append("\":").append(value);
    return this;
  }

  /**
   * Looks whether a message was built here.
   *
   * @param message a log message
   * @return true when it consists of fields
   */
  static boolean isFields(String message) {
    return message.startsWith(START) && message.endsWith("}");
  }

  @Override
  public String toString() {
    return text + "}";
  }
}
