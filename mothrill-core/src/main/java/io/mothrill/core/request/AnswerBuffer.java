package io.mothrill.core.request;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Buffers an answer so that it can be stored. Stops buffering when the answer exceeds the size
 * limit.
 */
final class AnswerBuffer {

  private final int maxBytes;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";

  AnswerBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  void head(int newStatus, String newContentType) {
    this.status = newStatus;
    this.contentType = newContentType;
    this.body = new ByteArrayOutputStream();
  }

  int status() {
    return status;
  }

  void chunk(byte[] bytes) {
    if (body == null) {
      return;
    }
    if (body.size() + bytes.length > maxBytes) {
      body = null;
      return;
    }
    body.writeBytes(bytes);
  }

  Optional<StoredAnswer> completeAnswer() {
    return Optional.ofNullable(body)
        .map(bytes -> new StoredAnswer(status, contentType, bytes.toByteArray()));
  }
}
