package io.mothrill.daemon.forward;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;

/** Tracks whether a newly started process has the state it needs to handle requests. */
final class Readiness {

  /**
   * The maximum wait for the first tokens. Many requests need none, so a longer wait would only
   * delay them.
   */
  private static final long FIRST_ROW_TIMEOUT_MS = 2_000;

  private final PublishedValue<ForwardingPlan> plan;
  private final PublishedValue<UpstreamList> upstreams;
  private final SpendingController spending;
  private final Timers timers;
  private final long startedMs;

  Readiness(
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<UpstreamList> upstreams,
      SpendingController spending,
      Timers timers) {
    this.plan = plan;
    this.upstreams = upstreams;
    this.spending = spending;
    this.timers = timers;
    this.startedMs = timers.nowMs();
  }

  /**
   * Returns a future that completes when the first plan and the first list of upstreams are known.
   */
  CompletableFuture<Void> initialState() {
    CompletableFuture<Void> planKnown = new CompletableFuture<>();
    CompletableFuture<Void> upstreamsKnown = new CompletableFuture<>();
    plan.subscribe(first -> planKnown.complete(null));
    upstreams.subscribe(first -> upstreamsKnown.complete(null));
    return CompletableFuture.allOf(planKnown, upstreamsKnown);
  }

  /** Returns what is missing; empty when the instance is ready. */
  String unreadyReason() {
    if (!plan.read().isKnown()) {
      return "no plan yet";
    }
    if (!upstreams.read().isKnown()) {
      return "no upstreams yet";
    }
    boolean withinTimeout = timers.nowMs() - startedMs < FIRST_ROW_TIMEOUT_MS;
    return withinTimeout && !spending.hasRow() ? "no tokens yet" : "";
  }
}
