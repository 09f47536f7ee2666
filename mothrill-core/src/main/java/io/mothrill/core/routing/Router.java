package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Assigns calls to upstreams, with one queue per service. */
public final class Router {

  private final UpstreamRegistry upstreams;
  private final UpstreamSelector selector;
  private final AdmissionPolicy admission;
  private final Timers timers;
  private final DecisionListener decisions;
  private final QueueSettings settings;
  private final Map<String, ServiceQueue> queues = new ConcurrentHashMap<>();

  /**
   * Creates the router.
   *
   * @param upstreams the upstreams of every service
   * @param selector selects among the upstreams that admit the call
   * @param admission decides which upstreams admit the call
   * @param timers the clock and timer service
   * @param decisions notified of every decision
   * @param settings the settings of the queues
   */
  public Router(
      UpstreamRegistry upstreams,
      UpstreamSelector selector,
      AdmissionPolicy admission,
      Timers timers,
      DecisionListener decisions,
      QueueSettings settings) {
    this.upstreams = upstreams;
    this.selector = selector;
    this.admission = admission;
    this.timers = timers;
    this.decisions = decisions;
    this.settings = settings;
  }

  /**
   * Requests a slot at an upstream.
   *
   * @param request the call
   * @return the slot; fails with {@link io.mothrill.core.routing.error.NoCapacityException}
   */
  public CompletableFuture<Assignment> route(RoutingRequest request) {
    return queueOf(request.service()).submit(request);
  }

  private ServiceQueue queueOf(String service) {
    return queues.computeIfAbsent(
        service,
        name ->
            new ServiceQueue(name, upstreams, selector, admission, timers, decisions, settings));
  }

  /**
   * Returns the number of calls to a service that are queued.
   *
   * @param service the service's name
   * @param priority the class
   * @return the number of calls that wait for a slot
   */
  public int waiting(String service, Priority priority) {
    return queueOf(service).waiting(priority);
  }
}
