package io.mothrill.core.time;

/** A handle that cancels a registration, such as a timer or a listener. */
@FunctionalInterface
public interface Subscription {

  /** Cancels the registration; further calls have no effect. */
  void cancel();
}
