package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Gives calls to upstreams: one queue per service. */
public final class Router {

  private final UpstreamTable upstreams;
  private final Chooser chooser;
  private final WindowPolicy window;
  private final Timers timers;
  private final DecisionLog decisions;
  private final QueueSettings settings;
  private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();

  /**
   * Creates the router.
   *
   * @param upstreams the upstreams of every service
   * @param chooser chooses among those with room
   * @param window says which have room
   * @param timers the time
   * @param decisions gets to know every decision
   * @param settings how calls wait
   */
  public Router(
      UpstreamTable upstreams,
      Chooser chooser,
      WindowPolicy window,
      Timers timers,
      DecisionLog decisions,
      QueueSettings settings) {
    this.upstreams = upstreams;
    this.chooser = chooser;
    this.window = window;
    this.timers = timers;
    this.decisions = decisions;
    this.settings = settings;
  }

  /**
   * Asks for a slot at an upstream.
   *
   * @param ticket the call
   * @return the slot; fails with {@link io.mothrill.core.routing.error.NoCapacityException}
   */
  public CompletableFuture<Assignment> route(Ticket ticket) {
    return queueOf(ticket.service()).submit(ticket);
  }

  private ServiceQueue queueOf(String service) {
    return queues.computeIfAbsent(
        service,
        name -> new ServiceQueue(name, upstreams, chooser, window, timers, decisions, settings));
  }

  /**
   * Counts the waiting calls to a service.
   *
   * @param service the service's name
   * @param priority the class
   * @return calls that wait for a slot
   */
  public int waiting(String service, Priority priority) {
    return queueOf(service).waiting(priority);
  }
}
