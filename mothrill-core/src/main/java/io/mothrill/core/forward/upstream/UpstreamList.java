package io.mothrill.core.forward.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** All registered upstreams at one moment; immutable. */
public final class UpstreamList {

  private static final UpstreamList EMPTY = new UpstreamList(List.of());

  private final Map<String, RegisteredUpstream> byId;
  private final Map<String, List<RegisteredUpstream>> acceptingByService;

  /**
   * Creates a list.
   *
   * @param upstreams the upstreams, each with an id of its own
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
   * Gives the list before any was read.
   *
   * @return a list without upstreams
   */
  public static UpstreamList empty() {
    return EMPTY;
  }

  /**
   * Says whether a list was ever read.
   *
   * @return false for {@link #empty()} only; a list that was read may have no upstreams
   */
  public boolean isKnown() {
    return this != EMPTY;
  }

  /**
   * Compares with another list.
   *
   * @param other the other list
   * @return true when both were read and say the same of the same upstreams
   */
  public boolean hasSameContent(UpstreamList other) {
    return isKnown() && other.isKnown() && byId.equals(other.byId);
  }

  /**
   * Lists the upstreams of a service that take new requests.
   *
   * @param service the service's name
   * @return those that are not leaving
   */
  public List<RegisteredUpstream> acceptingFor(String service) {
    return acceptingByService.getOrDefault(service, List.of());
  }

  /**
   * Lists everyone.
   *
   * @return all upstreams, leaving ones too
   */
  public Collection<RegisteredUpstream> all() {
    return byId.values();
  }

  /**
   * Looks for an upstream.
   *
   * @param id its id
   * @return true when it is in the list
   */
  public boolean contains(String id) {
    return byId.containsKey(id);
  }

  /**
   * Looks for an upstream by its id.
   *
   * @param id its id
   * @return the upstream as it was last heard of
   */
  public Optional<RegisteredUpstream> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Looks for one start of an upstream.
   *
   * @param incarnation what {@link RegisteredUpstream#incarnation()} gave
   * @return true when that process is in the list
   */
  public boolean containsIncarnation(String incarnation) {
    return find(RegisteredUpstream.idOf(incarnation))
        .filter(upstream -> upstream.incarnation().equals(incarnation))
        .isPresent();
  }

  /**
   * Says whether an upstream is still there and takes requests.
   *
   * @param upstream the upstream as it was known when it was chosen
   * @return true when the list has the same start of it and it does not leave
   */
  public boolean isAccepting(RegisteredUpstream upstream) {
    return find(upstream.id())
        .filter(known -> known.incarnation().equals(upstream.incarnation()))
        .filter(known -> !known.leaving())
        .isPresent();
  }

  /**
   * Says whether a process has been followed by another one with the same id.
   *
   * @param incarnation what {@link RegisteredUpstream#incarnation()} gave for the earlier process
   * @return true when the list shows a later start
   */
  public boolean isReplaced(String incarnation) {
    return contains(RegisteredUpstream.idOf(incarnation)) && !containsIncarnation(incarnation);
  }

  /**
   * Adds upstreams of an earlier list that this one lacks.
   *
   * <p>One whose address has passed on to another upstream is left out: it is surely gone.
   *
   * @param earlier the earlier list
   * @return a list with both
   */
  public UpstreamList withMissingFrom(UpstreamList earlier) {
    Predicate<RegisteredUpstream> replaced =
        missing ->
            byId.values().stream()
                .anyMatch(
                    here -> here.host().equals(missing.host()) && here.port() == missing.port());
    List<RegisteredUpstream> kept =
        earlier.all().stream()
            .filter(upstream -> !contains(upstream.id()))
            .filter(replaced.negate())
            .toList();
    return new UpstreamList(Stream.concat(all().stream(), kept.stream()).toList());
  }
}
