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
 * <p>Urgent calls go first. A batch call that has waited long enough may use the slots that are
 * kept for urgent ones, so that it completes however many of those there are.
 */
public final class ServiceQueue {

  private static final long SECOND_MS = 1_000;
  private static final long TICK_MS = 5_000;
  private static final long UNKNOWN_RETRY_MS = 1_000;

  private final String service;
  private final UpstreamTable upstreams;
  private final Chooser chooser;
  private final WindowPolicy window;
  private final Timers timers;
  private final DecisionLog decisions;
  private final QueueSettings settings;
  private final TeamQueue<Waiting> urgent = new TeamQueue<>();
  private final TeamQueue<Waiting> batch = new TeamQueue<>();
  private final EWMA served = EWMA.oneMinuteEWMA();

  ServiceQueue(
      String service,
      UpstreamTable upstreams,
      Chooser chooser,
      WindowPolicy window,
      Timers timers,
      DecisionLog decisions,
      QueueSettings settings) {
    this.service = service;
    this.upstreams = upstreams;
    this.chooser = chooser;
    this.window = window;
    this.timers = timers;
    this.decisions = decisions;
    this.settings = settings;
    timers.every(TICK_MS, served::tick);
    timers.every(SECOND_MS, this::dispatch);
  }

  private static final class Waiting {
    private final Ticket ticket;
    private final long sinceMs;
    private final CompletableFuture<Assignment> assigned = new CompletableFuture<>();
    private Subscription expiry = () -> {};

    Waiting(Ticket ticket, long sinceMs) {
      this.ticket = ticket;
      this.sinceMs = sinceMs;
    }
  }

  private record Dispatched(Waiting waiting, Assignment assignment) {}

  /**
   * Asks for a slot.
   *
   * @param ticket the call
   * @return the slot; fails with {@link NoCapacityException} when there will be none in time
   */
  public CompletableFuture<Assignment> submit(Ticket ticket) {
    Waiting waiting = new Waiting(ticket, timers.nowMs());
    Optional<NoCapacityException> refusal;
    synchronized (this) {
      refusal = refusalOf(ticket);
      if (refusal.isEmpty()) {
        queueOf(ticket).add(ticket.team(), waiting);
      }
    }
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get());
    }
    dispatch();
    if (!waiting.assigned.isDone()) {
      long waitMs = Math.min(maxWaitMs(ticket), ticket.deadlineMs() - timers.nowMs());
      waiting.expiry = timers.after(waitMs, () -> expire(waiting));
    }
    return waiting.assigned;
  }

  private TeamQueue<Waiting> queueOf(Ticket ticket) {
    return ticket.priority() == Priority.URGENT ? urgent : batch;
  }

  private long maxWaitMs(Ticket ticket) {
    return ticket.priority() == Priority.URGENT ? settings.urgentWaitMs() : settings.batchWaitMs();
  }

  /** Refuses at once what would wait in vain, so that the caller can try elsewhere. */
  private Optional<NoCapacityException> refusalOf(Ticket ticket) {
    if (staying(ticket).isEmpty()) {
      return Optional.of(NoCapacityException.noUpstream(service, earliestReturnMs()));
    }
    long waitMs = estimatedWaitMs(ticket);
    return waitMs > maxWaitMs(ticket)
        ? Optional.of(NoCapacityException.overloaded(service, waitMs))
        : Optional.empty();
  }

  /** Estimates the wait from the calls ahead and the rate at which calls were served of late. */
  private long estimatedWaitMs(Ticket ticket) {
    int ahead = urgent.size() + (ticket.priority() == Priority.BATCH ? batch.size() : 0);
    double perSecond = served.getRate(TimeUnit.SECONDS);
    if (ahead == 0 || perSecond <= 0) {
      return 0;
    }
    return (long) (ahead / perSecond * SECOND_MS);
  }

  /** When every upstream has failed the call once, all of them are tried again. */
  private List<UpstreamState> staying(Ticket ticket) {
    long nowMs = timers.nowMs();
    List<UpstreamState> all =
        present().filter(upstream -> upstream.restLeftMs(nowMs) == 0).toList();
    List<UpstreamState> untried =
        all.stream().filter(upstream -> !ticket.excluded().contains(upstream.name())).toList();
    return untried.isEmpty() ? all : untried;
  }

  private Stream<UpstreamState> present() {
    return upstreams.of(service).stream()
        .filter(upstream -> !upstream.isLeaving() && !upstream.isEvacuated());
  }

  /** The earliest end of a rest, where upstreams are there that rest. */
  private long earliestReturnMs() {
    long nowMs = timers.nowMs();
    return present()
        .mapToLong(upstream -> upstream.restLeftMs(nowMs))
        .min()
        .orElse(UNKNOWN_RETRY_MS);
  }

  private void expire(Waiting waiting) {
    boolean removed;
    long retryAfterMs;
    synchronized (this) {
      removed = queueOf(waiting.ticket).remove(waiting.ticket.team(), waiting);
      retryAfterMs = Math.max(UNKNOWN_RETRY_MS, estimatedWaitMs(waiting.ticket));
    }
    if (removed) {
      waiting.assigned.completeExceptionally(NoCapacityException.overloaded(service, retryAfterMs));
    }
  }

  /** Gives free slots to waiting calls; called whenever a slot may have become free. */
  public void dispatch() {
    List<Dispatched> dispatched = new ArrayList<>();
    synchronized (this) {
      for (Optional<Dispatched> next = takeNext(); next.isPresent(); next = takeNext()) {
        dispatched.add(next.get());
      }
    }
    dispatched.forEach(this::hand);
  }

  private void hand(Dispatched dispatched) {
    dispatched.waiting().expiry.cancel();
    if (!dispatched.waiting().assigned.complete(dispatched.assignment())) {
      dispatched.assignment().release();
    }
  }

  private Optional<Dispatched> takeNext() {
    long nowMs = timers.nowMs();
    return assignFirst(batch, waiting -> isAged(waiting, nowMs), WindowClass.AGED_BATCH)
        .or(() -> assignFirst(urgent, waiting -> true, WindowClass.URGENT))
        .or(() -> assignFirst(batch, waiting -> true, WindowClass.BATCH));
  }

  private boolean isAged(Waiting waiting, long nowMs) {
    return nowMs - waiting.sinceMs >= settings.batchAgingMs();
  }

  private Optional<Dispatched> assignFirst(
      TeamQueue<Waiting> queue, Predicate<Waiting> condition, WindowClass windowClass) {
    Dispatched[] found = new Dispatched[1];
    var unused =
        queue.pollFirst(
            waiting -> {
              if (condition.test(waiting)) {
                found[0] = assign(waiting, windowClass).orElse(null);
              }
              return found[0] != null;
            });
    return Optional.ofNullable(found[0]);
  }

  private Optional<Dispatched> assign(Waiting waiting, WindowClass windowClass) {
    long nowMs = timers.nowMs();
    List<UpstreamState> eligible =
        staying(waiting.ticket).stream()
            .filter(upstream -> window.admits(upstream, windowClass, nowMs))
            .toList();
    return chooser
        .choose(eligible, waiting.ticket, nowMs)
        .map(
            choice -> {
              decisions.routed(
                  new RoutingDecision(
                      waiting.ticket,
                      choice.upstream().name(),
                      choice.candidates(),
                      nowMs - waiting.sinceMs));
              Priority priority = waiting.ticket.priority();
              return new Dispatched(
                  waiting, new Assignment(choice.upstream(), priority, this::onReleased));
            });
  }

  private void onReleased() {
    served.update(1);
    dispatch();
  }

  /**
   * Counts the waiting calls.
   *
   * @param priority the class
   * @return calls that wait for a slot
   */
  public synchronized int waiting(Priority priority) {
    return priority == Priority.URGENT ? urgent.size() : batch.size();
  }
}
