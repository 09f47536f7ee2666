package io.mothrill.wire.response;

/** Receives what an upstream has sent beyond the responses that were asked for. */
public interface SurplusLog {

  /** Where surplus bytes were found. */
  enum Place {
    /** Behind a complete response, in the same read. */
    AFTER_RESPONSE,
    /** On a connection without a request. */
    WHILE_IDLE,
    /** In front of a response, as a response to another request. */
    OTHER_RESPONSE,
    /** In front of a response, as a part of what looks like its head. */
    IN_HEAD,
    /** In a response to another request, which has swallowed the right one. */
    IN_OTHER_RESPONSE,
    /** In place of a response or of a part of it, as bytes that break the grammar of HTTP. */
    MALFORMED
  }

  /**
   * Surplus bytes on one connection.
   *
   * @param place where they were found
   * @param byteCount how many bytes; 0 if unknown
   * @param connection the connection
   * @param detail what else is known; may be empty
   */
  record Surplus(Place place, long byteCount, ConnectionUse connection, String detail) {}

  /**
   * Called when surplus bytes were found.
   *
   * @param surplus the bytes
   */
  void onSurplus(Surplus surplus);
}
