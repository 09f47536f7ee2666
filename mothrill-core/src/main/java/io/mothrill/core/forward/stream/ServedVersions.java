package io.mothrill.core.forward.stream;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.time.Timers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * The software versions of each service that have been registered lately.
 *
 * <p>A stream whose origin is not recorded can go on if all upstreams that can have begun it had
 * the same version.
 */
public final class ServedVersions {

  /** Longer than any stream lasts. */
  private static final long RETENTION_MS = 600_000;

  /** Upstreams of a new version that have registered since the list was confirmed are not in it. */
  private static final long MAX_LIST_AGE_MS = 2_000;

  private final LongSupplier listAgeMs;
  private final Timers timers;

  /** When each version of each service was last registered; the maximum while it is. */
  private final Map<String, Map<String, Long>> lastSeenMs = new HashMap<>();

  /** Interval at which the age of the list is observed; shorter than the age that it may have. */
  private static final long OBSERVATION_INTERVAL_MS = 250;

  private static final long NEVER_MS = Long.MAX_VALUE;

  /**
   * Since when the list has been confirmed without interruption. While it is not, a version may
   * serve and leave unseen.
   */
  private long sinceMs = NEVER_MS;

  private boolean hasList;

  /**
   * Creates the tracker.
   *
   * @param upstreams the registered upstreams
   * @param listAgeMs the time since the list was known to be complete
   * @param timers the clock
   */
  public ServedVersions(
      PublishedValue<UpstreamList> upstreams, LongSupplier listAgeMs, Timers timers) {
    this.listAgeMs = listAgeMs;
    this.timers = timers;
    upstreams.subscribe(this::onList);
    timers.every(OBSERVATION_INTERVAL_MS, this::observeAge);
  }

  private synchronized void observeAge() {
    if (!isConfirmed()) {
      sinceMs = NEVER_MS;
    } else if (hasList) {
      sinceMs = Math.min(sinceMs, timers.nowMs());
    }
  }

  private boolean isConfirmed() {
    return listAgeMs.getAsLong() <= MAX_LIST_AGE_MS;
  }

  private synchronized void onList(UpstreamList list) {
    hasList = true;
    observeAge();
    final long nowMs = timers.nowMs();
    Map<String, Set<String>> registered =
        list.all().stream()
            .collect(
                Collectors.groupingBy(
                    RegisteredUpstream::service,
                    Collectors.mapping(RegisteredUpstream::version, Collectors.toSet())));
    registered.forEach(
        (service, versions) ->
            versions.forEach(
                version ->
                    lastSeenMs
                        .computeIfAbsent(service, key -> new HashMap<>())
                        .put(version, Long.MAX_VALUE)));
    lastSeenMs.forEach(
        (service, versions) ->
            endMissing(versions, registered.getOrDefault(service, Set.of()), nowMs));
    lastSeenMs.values().removeIf(Map::isEmpty);
  }

  private static void endMissing(Map<String, Long> versions, Set<String> registered, long nowMs) {
    versions.replaceAll(
        (version, seenMs) ->
            seenMs == Long.MAX_VALUE && !registered.contains(version) ? nowMs : seenMs);
    versions.values().removeIf(seenMs -> nowMs - seenMs > RETENTION_MS && seenMs < nowMs);
  }

  /**
   * Checks whether several versions of a service may have been registered within a time.
   *
   * @param service the service
   * @param withinMs the time until now
   * @return false if this instance knows that there has been one at most
   */
  synchronized boolean mayHaveSeveral(String service, long withinMs) {
    long fromMs = timers.nowMs() - withinMs;
    return sinceMs > fromMs || servedSince(service, fromMs).size() > 1;
  }

  private List<String> servedSince(String service, long fromMs) {
    return lastSeenMs.getOrDefault(service, Map.of()).entrySet().stream()
        .filter(entry -> entry.getValue() >= fromMs)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the only version of a service that was registered within a time.
   *
   * @param service the service
   * @param withinMs the time until now
   * @return the version; empty if there were several or none, or this instance has not known the
   *     upstreams for so long or does not know them now
   */
  synchronized Optional<String> onlyVersion(String service, long withinMs) {
    long fromMs = timers.nowMs() - withinMs;
    if (sinceMs > fromMs || !isConfirmed()) {
      return Optional.empty();
    }
    List<String> served = servedSince(service, fromMs);
    return served.size() == 1 ? Optional.of(served.get(0)) : Optional.empty();
  }
}
