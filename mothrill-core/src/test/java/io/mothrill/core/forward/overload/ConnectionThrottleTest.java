package io.mothrill.core.forward.overload;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a link that one large caller fills, so that everything else is late. */
class ConnectionThrottleTest {

  private static final long TICK_MS = 50;

  private final ConnectionThrottle throttle = new ConnectionThrottle();

  /** A link that is offered a multiple of what it carries; packets wait in its queue. */
  private final class Link {
    private double queuedMs;
    private double carriedMs;
    private double maxQueuedMs;

    void run(double offeredLoad, long durationMs) {
      for (long nowMs = 0; nowMs < durationMs; nowMs += TICK_MS) {
        double arrivingMs = throttle.isOpen(queuedMs, nowMs) ? offeredLoad * TICK_MS : 0;
        carriedMs += Math.min(TICK_MS, queuedMs + arrivingMs);
        queuedMs = Math.max(0, queuedMs + arrivingMs - TICK_MS);
        maxQueuedMs = Math.max(maxQueuedMs, queuedMs);
      }
    }
  }

  @Test
  void connectionsAreAcceptedWhileNothingIsDelayed() {
    Link link = new Link();

    link.run(0.95, 20_000);

    assertThat(throttle.closedCount()).isEqualTo(0);
  }

  // One caller sends 1.5 times what the link of its instance carries, for 20 s. Without a throttle
  // the queue would reach 10 s.
  @Test
  void delayStaysShortWhileTheLinkIsOfferedMoreThanItCarries() {
    Link link = new Link();

    link.run(1.5, 20_000);

    assertThat(link.maxQueuedMs).isLessThan(300);
    assertThat(link.carriedMs).isGreaterThan(0.8 * 20_000);
  }

  @Test
  void someConnectionsAreAcceptedAlthoughTheDelayStays() {
    int openTicks = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs += TICK_MS) {
      openTicks += throttle.isOpen(1_000, nowMs) ? 1 : 0;
    }

    assertThat(openTicks * TICK_MS).isAtLeast(3_000);
  }
}
