package io.mothrill.daemon.forward;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.spending.SpendingController;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;

/** What a process that has just started has to know before it can decide about requests. */
final class Readiness {

  /** Longest wait for the first tokens; many requests need none, so a longer one helps nobody. */
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

  /** Completes with the first plan and list of upstreams, whichever comes last. */
  CompletableFuture<Void> initialState() {
    CompletableFuture<Void> planKnown = new CompletableFuture<>();
    CompletableFuture<Void> upstreamsKnown = new CompletableFuture<>();
    plan.subscribe(first -> planKnown.complete(null));
    upstreams.subscribe(first -> upstreamsKnown.complete(null));
    return CompletableFuture.allOf(planKnown, upstreamsKnown);
  }

  /** Says what is missing; empty once callers may come. */
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
