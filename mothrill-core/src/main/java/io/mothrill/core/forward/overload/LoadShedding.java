package io.mothrill.core.forward.overload;

import java.util.OptionalDouble;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Decides which requests an instance sends back at once, because its neighbours serve them sooner.
 *
 * <p>Failure: a balancer sends all connections of a caller to one instance, and a large caller
 * fills its link. Symptom: every request there waits for hundreds of milliseconds, to and from its
 * upstream, while the neighbours are idle. A caller that is told at once that its request has not
 * run comes back within milliseconds, and to another instance. Only a part is sent back, as much as
 * is too much, and only while the neighbours are known to have room: where all have too much,
 * nobody would serve a request sooner.
 */
public final class LoadShedding {

  /** Part of the link up to which queues stay short. */
  private static final double CALM = 0.6;

  /** Most that is sent back: the callers' own repeats have to find room elsewhere. */
  private static final double MOST = 0.6;

  /** Part of their links that neighbours may use on average and still take more. */
  private static final double ROOM = 0.35;

  private final LinkLoad link;
  private final Supplier<OptionalDouble> neighboursUsed;
  private final RandomGenerator random;

  /**
   * Creates the decision.
   *
   * @param link how much of the link is used
   * @param neighboursUsed how much of their links the neighbours use on average; empty without any
   * @param random which requests are sent back
   */
  public LoadShedding(
      LinkLoad link, Supplier<OptionalDouble> neighboursUsed, RandomGenerator random) {
    this.link = link;
    this.neighboursUsed = neighboursUsed;
    this.random = random;
  }

  /**
   * Decides about one request that has just arrived.
   *
   * @return true when it is to be sent back
   */
  public boolean sheds() {
    double tooMuch = (link.used() - CALM) / (1 - CALM);
    return tooMuch > 0
        && neighboursUsed.get().orElse(1) <= ROOM
        && random.nextDouble() < Math.min(MOST, tooMuch);
  }
}
