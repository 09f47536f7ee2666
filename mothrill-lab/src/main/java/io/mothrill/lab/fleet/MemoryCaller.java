package io.mothrill.lab.fleet;

import io.mothrill.core.request.CallerStream;
import io.mothrill.core.request.Refusal;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** An in-memory caller that records what it receives. */
public final class MemoryCaller implements CallerStream {

  private final NodeClock clock;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private String requestId = "";
  private String key = "";
  private int status;
  private boolean ended;
  private boolean aborted;
  private Optional<Refusal> refusal = Optional.empty();

  MemoryCaller(NodeClock clock) {
    this.clock = clock;
  }

  @Override
  public void execute(Runnable step) {
    clock.run(step);
  }

  @Override
  public void identify(String newRequestId, String newKey) {
    requestId = newRequestId;
    key = newKey;
  }

  @Override
  public void head(int newStatus, String contentType) {
    status = newStatus;
  }

  @Override
  public void chunk(byte[] bytes) {
    body.writeBytes(bytes);
  }

  @Override
  public void end() {
    ended = true;
  }

  @Override
  public void abort() {
    aborted = true;
  }

  @Override
  public void refuse(Refusal newRefusal) {
    refusal = Optional.of(newRefusal);
  }

  /**
   * Returns the request id.
   *
   * @return the id; empty before it is known
   */
  public String requestId() {
    return requestId;
  }

  /**
   * Returns the key with which the request can be repeated.
   *
   * @return the key; empty before it is known
   */
  public String key() {
    return key;
  }

  /**
   * Returns the refusal.
   *
   * @return the refusal, or empty
   */
  public Optional<Refusal> refusal() {
    return refusal;
  }

  /**
   * Returns the part of the answer's body received so far.
   *
   * @return the body as text
   */
  public String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  /**
   * Returns the state of the call.
   *
   * @return {@code served}, {@code aborted}, {@code lost}, {@code waiting}, or the refusal's code
   */
  public String state() {
    if (refusal.isPresent()) {
      return refusal.get().code();
    }
    if (ended && status == 200) {
      return "served";
    }
    if (aborted) {
      return "aborted";
    }
    return clock.isKilled() ? "lost" : "waiting";
  }
}
