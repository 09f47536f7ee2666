package io.mothrill.core.time;

/** A handle on something registered earlier, such as a timer or a listener. */
@FunctionalInterface
public interface Subscription {

  /** Ends the registration; calling it again has no effect. */
  void cancel();
}
