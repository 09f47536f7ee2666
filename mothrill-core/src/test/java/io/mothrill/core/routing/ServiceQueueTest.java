package io.mothrill.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.UpstreamSpec;
import io.mothrill.core.routing.error.NoCapacityException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class ServiceQueueTest {

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<ConfigSnapshot> config =
      new PublishedValue<>(ConfigSnapshot.empty());
  private final List<String> order = new ArrayList<>();
  private final Router router =
      new Router(
          new UpstreamRegistry(config),
          new UpstreamSelector(List.of(new LoadScorer(1_000)), new Random(1), 2),
          new SharedAdmissionPolicy(),
          timers,
          decision -> order.add(decision.request().requestId()),
          new QueueSettings(5_000, 120_000, 30_000));

  private void declare(boolean leaving) {
    UpstreamSpec spec = new UpstreamSpec("asistan", "127.0.0.1", 1, "konya", 1, leaving);
    config.publish(ConfigSnapshot.of(config.read().revision() + 1, List.of(resource(spec))));
  }

  private static Resource resource(UpstreamSpec spec) {
    return new Resource("e1", 1, spec);
  }

  private CompletableFuture<Assignment> route(String id, String team, Priority priority) {
    return router.route(
        new RoutingRequest(id, "asistan", team, priority, "", Set.of(), timers.nowMs() + 60_000));
  }

  @Test
  void servesUrgentCallsBeforeBatchCallsQueuedEarlier() {
    // GIVEN
    declare(false);
    Assignment running = route("first", "a", Priority.BATCH).join();
    var batch = route("batch", "a", Priority.BATCH);
    var urgent = route("urgent", "a", Priority.URGENT);
    // WHEN
    running.release();
    // THEN
    assertThat(urgent.isDone()).isTrue();
    assertThat(batch.isDone()).isFalse();
  }

  // Guards against starving a small team: its only call must not wait for all queued calls of a
  // large team.
  @Test
  void servesTeamsRoundRobin() {
    // GIVEN
    declare(false);
    Assignment slot = route("first", "large", Priority.URGENT).join();
    List<CompletableFuture<Assignment>> large = new ArrayList<>();
    for (int call = 0; call < 5; call++) {
      large.add(route("large-" + call, "large", Priority.URGENT));
    }
    var small = route("small", "small", Priority.URGENT);
    // WHEN
    slot.release();
    large.get(0).join().release();
    // THEN
    assertThat(small.isDone()).isTrue();
    assertThat(order).containsExactly("first", "large-0", "small").inOrder();
  }

  @Test
  void refusesAtOnceWhenTheOnlyUpstreamIsLeaving() {
    // GIVEN
    declare(true);
    // THEN
    assertThat(route("call", "a", Priority.URGENT).isCompletedExceptionally()).isTrue();
  }

  @Test
  void sendsNoNewCallsToLeavingUpstream() {
    // GIVEN
    declare(false);
    Assignment running = route("first", "a", Priority.URGENT).join();
    final var waiting = route("second", "a", Priority.URGENT);
    // WHEN
    declare(true);
    running.release();
    timers.advanceMs(5_000);
    // THEN
    assertThat(order).containsExactly("first");
    assertThat(waiting.isCompletedExceptionally()).isTrue();
  }

  @Test
  void refusesCallWhenItsWaitExpires() {
    // GIVEN
    declare(false);
    var running = route("first", "a", Priority.URGENT);
    final var waiting = route("second", "a", Priority.URGENT);
    // WHEN
    timers.advanceMs(5_000);
    // THEN
    assertThat(running.isCompletedExceptionally()).isFalse();
    assertThat(waiting.isCompletedExceptionally()).isTrue();
  }

  // Guards against sending calls to an upstream during the backoff that it announced with a
  // refusal, also when there is no other upstream.
  @Test
  void sendsNothingToUpstreamThatBacksOff() {
    // GIVEN
    declare(false);
    Assignment refused = route("first", "a", Priority.URGENT).join();
    refused.upstream().backOffUntil(timers.nowMs() + 3_000);
    refused.release();
    // WHEN
    var next = route("next", "a", Priority.URGENT);
    // THEN
    assertThat(retryAfterMs(next)).isEqualTo(3_000);
    timers.advanceMs(3_000);
    assertThat(route("later", "a", Priority.URGENT).isDone()).isTrue();
  }

  @Test
  void shorterBackoffDoesNotShortenLongerOne() {
    // GIVEN
    declare(false);
    UpstreamState upstream = route("first", "a", Priority.URGENT).join().upstream();
    // WHEN
    upstream.backOffUntil(timers.nowMs() + 3_000);
    upstream.backOffUntil(timers.nowMs() + 500);
    // THEN
    assertThat(upstream.backoffLeftMs(timers.nowMs())).isEqualTo(3_000);
  }

  private static long retryAfterMs(CompletableFuture<Assignment> refused) {
    CompletionException thrown = assertThrows(CompletionException.class, refused::join);
    return ((NoCapacityException) thrown.getCause()).retryAfterMs();
  }
}
