package io.mothrill.wire.forward;

import io.mothrill.core.forward.path.PathOutcome;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.function.Consumer;

/** Opens connections to upstreams; all methods are called on one event loop. */
interface UpstreamConnector {

  /**
   * What a connection is opened for.
   *
   * @param upstream the upstream
   * @param requestId the request
   * @param timeoutMs how long it may take
   */
  record Target(RegisteredUpstream upstream, String requestId, int timeoutMs) {}

  /** Receives the result of an attempt to connect, once. */
  interface Listener {

    /** Called with the open connection. */
    void onConnected(UpstreamConnection connection);

    /**
     * Called when there is no connection; nothing has reached the upstream.
     *
     * @param outcome what was observed
     * @param detail a description for the log
     */
    void onFailed(PathOutcome outcome, String detail);

    /** Creates a listener. */
    static Listener of(
        Consumer<UpstreamConnection> onConnected,
        java.util.function.BiConsumer<PathOutcome, String> onFailed) {
      return new Listener() {
        @Override
        public void onConnected(UpstreamConnection connection) {
          onConnected.accept(connection);
        }

        @Override
        public void onFailed(PathOutcome outcome, String detail) {
          onFailed.accept(outcome, detail);
        }
      };
    }
  }

  /** Opens a connection. */
  void connect(Target target, Listener listener);
}
