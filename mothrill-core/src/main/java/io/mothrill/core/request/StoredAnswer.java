package io.mothrill.core.request;

/**
 * A whole answer, kept for callers that ask again.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredAnswer(int status, String contentType, byte[] body) {}
