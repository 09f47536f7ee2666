package io.mothrill.core.request;

/**
 * A complete answer that is stored for retries.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, String contentType, byte[] body) {}
