package io.mothrill.core.routing;

import io.mothrill.core.resource.Priority;
import io.mothrill.core.time.Timers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Gives calls to upstreams: one queue per service. */
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
   * @param selector chooses among those with room
   * @param admission says which have room
   * @param timers the time
   * @param decisions gets to know every decision
   * @param settings how calls wait
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
   * Asks for a slot at an upstream.
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
