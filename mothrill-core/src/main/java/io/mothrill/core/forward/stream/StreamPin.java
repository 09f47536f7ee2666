package io.mothrill.core.forward.stream;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import java.util.Optional;

/** Determines to which software version a request may be sent, so that a stream stays at one. */
public interface StreamPin {

  /** The pin of requests whose answers may not be continued. */
  StreamPin NONE =
      new StreamPin() {
        @Override
        public void onSent(RegisteredUpstream upstream) {}

        @Override
        public void onFirstEvent(RegisteredUpstream upstream) {}

        @Override
        public Optional<String> requiredVersion() {
          return Optional.empty();
        }
      };

  /**
   * Called when the request is sent to an upstream.
   *
   * @param upstream the upstream
   */
  void onSent(RegisteredUpstream upstream);

  /**
   * Called when the first event of an answer is relayed.
   *
   * @param upstream the upstream that brought it
   */
  void onFirstEvent(RegisteredUpstream upstream);

  /**
   * Returns the version to which the request may be sent.
   *
   * @return the version; empty if any may answer
   */
  Optional<String> requiredVersion();
}
