package io.mothrill.core.forward.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A snapshot of all registered upstreams; immutable. */
public final class UpstreamList {

  private static final UpstreamList EMPTY = new UpstreamList(List.of());

  private final Map<String, RegisteredUpstream> byId;
  private final Map<String, List<RegisteredUpstream>> acceptingByService;

  /**
   * Creates a list.
   *
   * @param upstreams the upstreams, with unique ids
   */
  public UpstreamList(Collection<RegisteredUpstream> upstreams) {
    this.byId = new HashMap<>();
    upstreams.forEach(upstream -> byId.put(upstream.id(), upstream));
    this.acceptingByService =
        upstreams.stream()
            .filter(upstream -> !upstream.leaving())
            .collect(Collectors.groupingBy(RegisteredUpstream::service));
  }

  /**
   * Returns the list in use before any was read.
   *
   * @return a list without upstreams
   */
  public static UpstreamList empty() {
    return EMPTY;
  }

  /**
   * Checks whether a list has been read.
   *
   * @return false only for {@link #empty()}; a list that was read may have no upstreams
   */
  public boolean isKnown() {
    return this != EMPTY;
  }

  /**
   * Compares the content with another list.
   *
   * @param other the other list
   * @return true if both were read and contain equal upstreams
   */
  public boolean hasSameContent(UpstreamList other) {
    return isKnown() && other.isKnown() && byId.equals(other.byId);
  }

  /**
   * Lists the upstreams of a service that accept new requests.
   *
   * @param service the service's name
   * @return the upstreams that are not leaving
   */
  public List<RegisteredUpstream> acceptingFor(String service) {
    return acceptingByService.getOrDefault(service, List.of());
  }

  /**
   * Lists all upstreams.
   *
   * @return all upstreams, including those that are leaving
   */
  public Collection<RegisteredUpstream> all() {
    return byId.values();
  }

  /**
   * Checks whether an upstream is registered.
   *
   * @param id its id
   * @return true if it is in the list
   */
  public boolean contains(String id) {
    return byId.containsKey(id);
  }

  /**
   * Finds an upstream by its id.
   *
   * @param id its id
   * @return the upstream, if it is in the list
   */
  public Optional<RegisteredUpstream> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Checks whether an incarnation of an upstream is registered.
   *
   * @param incarnation a result of {@link RegisteredUpstream#incarnation()}
   * @return true if that process is in the list
   */
  public boolean containsIncarnation(String incarnation) {
    return findIncarnation(incarnation).isPresent();
  }

  /**
   * Finds an incarnation of an upstream.
   *
   * @param incarnation a result of {@link RegisteredUpstream#incarnation()}
   * @return the upstream, if that process is in the list
   */
  public Optional<RegisteredUpstream> findIncarnation(String incarnation) {
    return find(RegisteredUpstream.idOf(incarnation))
        .filter(upstream -> upstream.incarnation().equals(incarnation));
  }

  /**
   * Checks whether an upstream is still registered and accepts requests.
   *
   * @param upstream the upstream as it was when selected
   * @return true if the list contains the same incarnation and version and it is not leaving
   */
  public boolean isAccepting(RegisteredUpstream upstream) {
    return find(upstream.id())
        .filter(known -> known.incarnation().equals(upstream.incarnation()))
        .filter(known -> known.version().equals(upstream.version()))
        .filter(known -> !known.leaving())
        .isPresent();
  }

  /**
   * Checks whether a process has been replaced by another one with the same id.
   *
   * @param incarnation a result of {@link RegisteredUpstream#incarnation()} for the earlier process
   * @return true if the list contains another incarnation
   */
  public boolean isReplaced(String incarnation) {
    return contains(RegisteredUpstream.idOf(incarnation)) && !containsIncarnation(incarnation);
  }

  /**
   * Adds upstreams of an earlier list that this one lacks.
   *
   * <p>Those whose address is used by another upstream now are left out: they have certainly
   * terminated.
   *
   * @param earlier the earlier list
   * @return a list with both
   */
  public UpstreamList withMissingFrom(UpstreamList earlier) {
    Predicate<RegisteredUpstream> replaced =
        missing ->
            byId.values().stream()
                .anyMatch(
                    registered ->
                        registered.host().equals(missing.host())
                            && registered.port() == missing.port());
    List<RegisteredUpstream> kept =
        earlier.all().stream()
            .filter(upstream -> !contains(upstream.id()))
            .filter(replaced.negate())
            .toList();
    return new UpstreamList(Stream.concat(all().stream(), kept.stream()).toList());
  }
}
