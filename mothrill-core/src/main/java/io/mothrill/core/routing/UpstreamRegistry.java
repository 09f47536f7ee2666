package io.mothrill.core.routing;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.config.ConfigSnapshot;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.resource.Resource;
import io.mothrill.core.resource.ResourceKind;
import io.mothrill.core.resource.UpstreamSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

/**
 * The upstreams of every service, updated with the configuration. The counts of calls in flight
 * survive configuration changes.
 */
public final class UpstreamRegistry {

  private final Map<String, UpstreamState> states = new ConcurrentHashMap<>();
  private final AtomicReference<Map<String, List<UpstreamState>>> byService =
      new AtomicReference<>(Map.of());

  /**
   * Creates the registry.
   *
   * @param config the configuration whose changes are applied
   */
  public UpstreamRegistry(PublishedValue<ConfigSnapshot> config) {
    config.subscribe(this::apply);
    apply(config.read());
  }

  private synchronized void apply(ConfigSnapshot snapshot) {
    List<Resource> upstreams = snapshot.list(ResourceKind.UPSTREAM);
    states.keySet().retainAll(upstreams.stream().map(Resource::name).toList());
    upstreams.forEach(this::register);
    states
        .values()
        .forEach(state -> state.markEvacuated(snapshot.isEvacuated(state.spec().domain())));
    byService.set(
        states.values().stream()
            .sorted((one, two) -> one.name().compareTo(two.name()))
            .collect(Collectors.groupingBy(state -> state.spec().service())));
  }

  /**
   * Adds or updates an upstream. An upstream at another address is another process, so the state of
   * the previous one is dropped.
   */
  private void register(Resource resource) {
    UpstreamSpec spec = (UpstreamSpec) resource.spec();
    states.compute(
        resource.name(),
        (name, existing) -> {
          boolean sameProcess =
              existing != null
                  && existing.spec().host().equals(spec.host())
                  && existing.spec().port() == spec.port()
                  && existing.spec().leaving() == spec.leaving();
          if (!sameProcess) {
            return new UpstreamState(name, spec);
          }
          existing.updateSpec(spec);
          return existing;
        });
  }

  /**
   * Returns the upstreams of a service.
   *
   * @param service the service's name
   * @return the upstreams sorted by name, including those that are leaving
   */
  public List<UpstreamState> of(String service) {
    return byService.get().getOrDefault(service, List.of());
  }

  /**
   * Returns an upstream by name.
   *
   * @param name its name
   * @return the upstream, or empty
   */
  public Optional<UpstreamState> find(String name) {
    return Optional.ofNullable(states.get(name));
  }

  /**
   * Returns an incarnation of an upstream.
   *
   * @param incarnation the name of the incarnation
   * @return the upstream as it is registered, or empty
   */
  public Optional<RegisteredUpstream> findIncarnation(String incarnation) {
    return states.values().stream()
        .map(UpstreamState::asRegistered)
        .filter(upstream -> upstream.incarnation().equals(incarnation))
        .findFirst();
  }

  /**
   * Checks whether an upstream is still registered at its address and accepts requests.
   *
   * @param upstream the upstream as it was when it was selected
   * @return true when it is the same upstream and is not leaving
   */
  public boolean isServing(RegisteredUpstream upstream) {
    return find(upstream.id())
        .map(UpstreamState::asRegistered)
        .filter(known -> known.host().equals(upstream.host()) && known.port() == upstream.port())
        .filter(known -> !known.leaving())
        .isPresent();
  }

  /**
   * Returns all upstreams.
   *
   * @return the upstreams
   */
  public List<UpstreamState> all() {
    return List.copyOf(states.values());
  }
}
