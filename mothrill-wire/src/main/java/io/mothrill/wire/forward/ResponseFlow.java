package io.mothrill.wire.forward;

import io.mothrill.core.forward.buffer.SourcePause;

/**
 * Pauses reading the response of an upstream while its caller does not read; confined to the event
 * loop of the request.
 */
final class ResponseFlow {

  private final CallerResponse response;
  private final SourcePause pause;
  private final Runnable onResumed;
  private UpstreamConnection connection;

  /**
   * Creates a flow without a connection.
   *
   * @param response the response to the caller
   * @param pause the state of the upstream as the source of that response
   * @param onResumed called when reading resumes
   */
  ResponseFlow(CallerResponse response, SourcePause pause, Runnable onResumed) {
    this.response = response;
    this.pause = pause;
    this.onResumed = onResumed;
  }

  void attach(UpstreamConnection newConnection) {
    connection = newConnection;
  }

  /** Pauses reading if the caller cannot take more. */
  void pauseIfCallerIsSlow() {
    if (!response.isWritable()) {
      setReading(false);
    }
  }

  void setReading(boolean reading) {
    if (connection == null || reading != pause.isActive()) {
      return;
    }
    connection.setReading(reading);
    if (reading) {
      pause.end();
      onResumed.run();
    } else {
      pause.start();
    }
  }

  boolean isPaused() {
    return pause.isActive();
  }

  /** Detaches the connection, which may serve another request from now on. */
  void stop() {
    pause.end();
    connection = null;
  }
}
