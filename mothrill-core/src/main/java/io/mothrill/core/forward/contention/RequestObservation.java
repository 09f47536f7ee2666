package io.mothrill.core.forward.contention;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/** Observes one request at an upstream. Called on the event loop of the request. */
public interface RequestObservation {

  /** Observes nothing. */
  RequestObservation NONE =
      new RequestObservation() {
        @Override
        public void onHead(OptionalInt running, OptionalInt queued, OptionalDouble slowdown) {}

        @Override
        public void onAnswered() {}

        @Override
        public void onNotRun() {}

        @Override
        public void stop() {}
      };

  /**
   * Called when the head of the response has arrived.
   *
   * @param running the number of requests running at the upstream, if announced
   * @param queued the number of requests queued at the upstream, if announced
   * @param slowdown the slowdown of the upstream's machine as a factor, if announced
   */
  void onHead(OptionalInt running, OptionalInt queued, OptionalDouble slowdown);

  /** Called with the first event of a stream or at the end of a plain response. */
  void onAnswered();

  /** Called when the upstream has stated that it did not run the request. */
  void onNotRun();

  /** Stops observing; has no effect on a request that was answered. */
  void stop();
}
