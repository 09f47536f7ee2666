package io.mothrill.core.routing;

import com.codahale.metrics.EWMA;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.routing.error.NoCapacityException;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The calls to one service that wait for a slot at one of its upstreams.
 *
 * <p>Urgent calls are served first. A batch call that has waited long enough may use slots reserved
 * for urgent calls, so that it completes even while urgent calls keep arriving.
 */
public final class ServiceQueue {

  private static final long SECOND_MS = 1_000;
  private static final long TICK_MS = 5_000;
  private static final long DEFAULT_RETRY_MS = 1_000;

  private final String service;
  private final UpstreamRegistry upstreams;
  private final UpstreamSelector selector;
  private final AdmissionPolicy admission;
  private final Timers timers;
  private final DecisionListener decisions;
  private final QueueSettings settings;
  private final TeamQueue<WaitingCall> urgent = new TeamQueue<>();
  private final TeamQueue<WaitingCall> batch = new TeamQueue<>();
  private final EWMA completionRate = EWMA.oneMinuteEWMA();

  ServiceQueue(
      String service,
      UpstreamRegistry upstreams,
      UpstreamSelector selector,
      AdmissionPolicy admission,
      Timers timers,
      DecisionListener decisions,
      QueueSettings settings) {
    this.service = service;
    this.upstreams = upstreams;
    this.selector = selector;
    this.admission = admission;
    this.timers = timers;
    this.decisions = decisions;
    this.settings = settings;
    timers.every(TICK_MS, completionRate::tick);
    timers.every(SECOND_MS, this::dispatch);
  }

  private static final class WaitingCall {
    private final RoutingRequest request;
    private final long enqueuedMs;
    private final CompletableFuture<Assignment> assigned = new CompletableFuture<>();
    private Subscription expiry = () -> {};

    WaitingCall(RoutingRequest request, long sinceMs) {
      this.request = request;
      this.enqueuedMs = sinceMs;
    }
  }

  private record Dispatched(WaitingCall waiting, Assignment assignment) {}

  /**
   * Requests a slot.
   *
   * @param request the call
   * @return the slot; fails with {@link NoCapacityException} when none becomes free in time
   */
  public CompletableFuture<Assignment> submit(RoutingRequest request) {
    WaitingCall waiting = new WaitingCall(request, timers.nowMs());
    Optional<NoCapacityException> refusal;
    synchronized (this) {
      refusal = refusalOf(request);
      if (refusal.isEmpty()) {
        queueOf(request).add(request.team(), waiting);
      }
    }
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get());
    }
    dispatch();
    if (!waiting.assigned.isDone()) {
      long waitMs = Math.min(maxWaitMs(request), request.deadlineMs() - timers.nowMs());
      waiting.expiry = timers.after(waitMs, () -> expire(waiting));
    }
    return waiting.assigned;
  }

  private TeamQueue<WaitingCall> queueOf(RoutingRequest request) {
    return request.priority() == Priority.URGENT ? urgent : batch;
  }

  private long maxWaitMs(RoutingRequest request) {
    return request.priority() == Priority.URGENT ? settings.urgentWaitMs() : settings.batchWaitMs();
  }

  /**
   * Returns a refusal when the call could not be served within its maximum wait. Refusing it at
   * once lets the caller use another instance.
   */
  private Optional<NoCapacityException> refusalOf(RoutingRequest request) {
    if (candidates(request).isEmpty()) {
      return Optional.of(NoCapacityException.noUpstream(service, earliestBackoffEndMs()));
    }
    long waitMs = estimatedWaitMs(request);
    return waitMs > maxWaitMs(request)
        ? Optional.of(NoCapacityException.overloaded(service, waitMs))
        : Optional.empty();
  }

  /** Estimates the wait from the number of calls ahead and the recent completion rate. */
  private long estimatedWaitMs(RoutingRequest request) {
    int ahead = urgent.size() + (request.priority() == Priority.BATCH ? batch.size() : 0);
    double perSecond = completionRate.getRate(TimeUnit.SECONDS);
    if (ahead == 0 || perSecond <= 0) {
      return 0;
    }
    return (long) (ahead / perSecond * SECOND_MS);
  }

  /**
   * Returns the upstreams that may be used. When the call has failed at every upstream, all of them
   * are retried.
   */
  private List<UpstreamState> candidates(RoutingRequest request) {
    long nowMs = timers.nowMs();
    List<UpstreamState> all =
        availableUpstreams().filter(upstream -> upstream.backoffLeftMs(nowMs) == 0).toList();
    List<UpstreamState> untried =
        all.stream().filter(upstream -> !request.excluded().contains(upstream.name())).toList();
    return untried.isEmpty() ? all : untried;
  }

  private Stream<UpstreamState> availableUpstreams() {
    return upstreams.of(service).stream()
        .filter(upstream -> !upstream.isLeaving() && !upstream.isEvacuated());
  }

  /**
   * Returns the time until the first upstream ends its backoff, or a default when no upstream is
   * available.
   */
  private long earliestBackoffEndMs() {
    long nowMs = timers.nowMs();
    return availableUpstreams()
        .mapToLong(upstream -> upstream.backoffLeftMs(nowMs))
        .min()
        .orElse(DEFAULT_RETRY_MS);
  }

  private void expire(WaitingCall waiting) {
    boolean removed;
    long retryAfterMs;
    synchronized (this) {
      removed = queueOf(waiting.request).remove(waiting.request.team(), waiting);
      retryAfterMs = Math.max(DEFAULT_RETRY_MS, estimatedWaitMs(waiting.request));
    }
    if (removed) {
      waiting.assigned.completeExceptionally(NoCapacityException.overloaded(service, retryAfterMs));
    }
  }

  /** Assigns free slots to queued calls. Called whenever a slot may have become free. */
  public void dispatch() {
    List<Dispatched> dispatched = new ArrayList<>();
    synchronized (this) {
      for (Optional<Dispatched> next = pollNext(); next.isPresent(); next = pollNext()) {
        dispatched.add(next.get());
      }
    }
    dispatched.forEach(this::deliver);
  }

  private void deliver(Dispatched dispatched) {
    dispatched.waiting().expiry.cancel();
    if (!dispatched.waiting().assigned.complete(dispatched.assignment())) {
      dispatched.assignment().release();
    }
  }

  private Optional<Dispatched> pollNext() {
    long nowMs = timers.nowMs();
    return assignFirst(batch, waiting -> isAged(waiting, nowMs), AdmissionClass.AGED_BATCH)
        .or(() -> assignFirst(urgent, waiting -> true, AdmissionClass.URGENT))
        .or(() -> assignFirst(batch, waiting -> true, AdmissionClass.BATCH));
  }

  private boolean isAged(WaitingCall waiting, long nowMs) {
    return nowMs - waiting.enqueuedMs >= settings.batchAgingMs();
  }

  private Optional<Dispatched> assignFirst(
      TeamQueue<WaitingCall> queue,
      Predicate<WaitingCall> condition,
      AdmissionClass admissionClass) {
    Dispatched[] found = new Dispatched[1];
    var unused =
        queue.pollFirst(
            waiting -> {
              if (condition.test(waiting)) {
                found[0] = assign(waiting, admissionClass).orElse(null);
              }
              return found[0] != null;
            });
    return Optional.ofNullable(found[0]);
  }

  private Optional<Dispatched> assign(WaitingCall waiting, AdmissionClass admissionClass) {
    long nowMs = timers.nowMs();
    List<UpstreamState> eligible =
        candidates(waiting.request).stream()
            .filter(upstream -> admission.admits(upstream, admissionClass, nowMs))
            .toList();
    return selector
        .select(eligible, waiting.request, nowMs)
        .map(
            choice -> {
              decisions.onRouted(
                  new RoutingDecision(
                      waiting.request,
                      choice.upstream().name(),
                      choice.candidates(),
                      nowMs - waiting.enqueuedMs));
              Priority priority = waiting.request.priority();
              return new Dispatched(
                  waiting, new Assignment(choice.upstream(), priority, this::onReleased));
            });
  }

  private void onReleased() {
    completionRate.update(1);
    dispatch();
  }

  /**
   * Returns the number of queued calls.
   *
   * @param priority the class
   * @return the number of calls that wait for a slot
   */
  public synchronized int waiting(Priority priority) {
    return priority == Priority.URGENT ? urgent.size() : batch.size();
  }
}
