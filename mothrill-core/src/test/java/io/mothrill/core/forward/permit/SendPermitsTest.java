package io.mothrill.core.forward.permit;

import static com.google.common.truth.Truth.assertThat;

import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.TestUpstreams;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SendPermitsTest {

  private static final long WINDOW_MS = 4_000;
  private static final long TAKEOVER_DELAY_MS = 4_000;
  private static final int INSTANCES = 8;

  private final ManualTimers timers = new ManualTimers();
  private final SimulatedFleet fleet = new SimulatedFleet(timers);
  private final RegisteredUpstream upstream = TestUpstreams.started("i-1", "domain-1", 1);
  private int maxRequests = 4;
  private long confirmedMs = timers.nowMs();

  private record Sender(SimulatedFleet.Member member, SendPermits permits) {}

  private List<Sender> start() {
    List<SimulatedFleet.Member> members =
        IntStream.range(0, INSTANCES)
            .mapToObj(number -> fleet.start("edge-" + number, "domain-" + number % 4))
            .toList();
    fleet.settle();
    return members.stream()
        .map(member -> new Sender(member, new SendPermits(member.self(), member, limits(), timers)))
        .toList();
  }

  private RateLimits limits() {
    return new RateLimits() {
      @Override
      public Optional<RateLimit> find(RegisteredUpstream queried) {
        return Optional.of(
            new RateLimit(maxRequests, WINDOW_MS, timers.nowMs() - confirmedMs, TAKEOVER_DELAY_MS));
      }

      @Override
      public long retryAfterMs(RegisteredUpstream queried) {
        return 0;
      }
    };
  }

  private int acquireAll(Sender sender) {
    return (int)
        IntStream.range(0, 5_000).filter(take -> sender.permits().tryAcquire(upstream)).count();
  }

  private int acquireAll(List<Sender> senders) {
    return senders.stream().mapToInt(this::acquireAll).sum();
  }

  private Sender senderAmong(List<Sender> senders) {
    return senders.stream()
        .filter(sender -> sender.permits().hasPermit(upstream))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void oneInstanceOfTheDomainUsesHalfOfLowLimit() {
    List<Sender> senders = start();
    acquireAll(senders);
    timers.advanceMs(TAKEOVER_DELAY_MS);
    senders.forEach(one -> one.member().read());
    Sender sender = senderAmong(senders);

    assertThat(sender.member().self().domain()).isEqualTo(upstream.domain());
    assertThat(acquireAll(senders)).isEqualTo(2);
    assertThat(sender.permits().hasPermit(upstream)).isFalse();
  }

  // A limit far above the load of the callers must not make the upstream unavailable to most of
  // them.
  @Test
  void highLimitIsSplitBetweenAllInstances() {
    maxRequests = 2_000;

    start().forEach(sender -> assertThat(acquireAll(sender)).isAtLeast(40));
  }

  // All upstreams of a service announce limits at the same time, far above the requests they get.
  @Test
  void noInstanceWaitsUnderHighLimit() {
    maxRequests = 2_000;

    assertThat(acquireAll(start())).isEqualTo(1_000);
  }

  // The instance that was sending terminated right after its last request.
  @Test
  void successorWaitsUntilEarlierRequestsAreOutsideTheWindow() {
    List<Sender> senders = start();
    acquireAll(senders);
    timers.advanceMs(TAKEOVER_DELAY_MS);
    senders.forEach(one -> one.member().read());
    Sender first = senderAmong(senders);
    assertThat(acquireAll(senders)).isEqualTo(2);
    fleet.stop(first.member().self().id());
    List<Sender> remaining = senders.stream().filter(sender -> sender != first).toList();
    remaining.forEach(sender -> sender.member().read());

    assertThat(acquireAll(remaining)).isEqualTo(0);
    timers.advanceMs(WINDOW_MS - 1);
    remaining.forEach(sender -> sender.member().read());
    assertThat(acquireAll(remaining)).isEqualTo(0);
    timers.advanceMs(1);
    assertThat(acquireAll(remaining)).isEqualTo(2);
  }

  // While the store is unreachable no instance knows the fleet; a large limit must not stop all
  // service then.
  @Test
  void highLimitIsSplitWhileTheStoreIsUnreachable() {
    maxRequests = 2_000;
    List<Sender> senders = start();

    timers.advanceMs(SimulatedFleet.currentMs(INSTANCES) + 1);

    assertThat(acquireAll(senders)).isEqualTo(1_000);
  }

  // With a limit of zero no instance sends, so no answer would ever show that the limit has ended.
  @Test
  void oneInstanceAfterTheOtherProbesWithoutRecentAnswers() {
    maxRequests = 0;
    List<Sender> senders = start();
    assertThat(acquireAll(senders)).isEqualTo(0);

    timers.advanceMs(10_000);
    assertThat(acquireAll(senders)).isEqualTo(1);
    timers.advanceMs(2_000);
    assertThat(acquireAll(senders)).isEqualTo(1);

    confirmedMs = timers.nowMs();
    timers.advanceMs(9_999);
    assertThat(acquireAll(senders)).isEqualTo(0);
  }
}
