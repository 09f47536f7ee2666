package io.mothrill.core.forward.stream;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.forward.upstream.UpstreamListState;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.time.Timers;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * The software versions of each service that have been registered lately.
 *
 * <p>A stream whose origin is not recorded can go on if all upstreams that can have begun it had
 * the same version. All times are on the clock of the store, as of which lists are complete, so a
 * list that is behind or an instance that was suspended cannot be taken for current.
 */
public final class ServedVersions {

  /** Longer than any stream lasts. */
  private static final long RETENTION_MS = 600_000;

  /** An upstream stays registered for longer than this, so a list in between shows it. */
  private static final long MAX_GAP_MS = 2_000;

  /**
   * Upstreams that have left the list go on serving instances that cannot read it, for many seconds
   * at times.
   */
  private static final long MAX_LINGER_MS = 20_000;

  /** Interval at which confirmations are observed; shorter than the gap that they may have. */
  private static final long OBSERVATION_INTERVAL_MS = 250;

  /** The time of a version that is registered. */
  private static final long REGISTERED = Long.MAX_VALUE;

  private final UpstreamListState listState;
  private final StoreClock storeClock;

  /** When each version of each service was last registered. */
  private final Map<String, Map<String, Long>> lastRegisteredMs = new HashMap<>();

  /** Since when the list has been confirmed without a gap. */
  private long sinceMs = Long.MAX_VALUE;

  private long confirmedMs = UpstreamListState.UNKNOWN_MS;
  private boolean hasList;

  /**
   * Creates the tracker.
   *
   * @param upstreams the registered upstreams
   * @param listState how far their list is complete
   * @param storeClock the clock of the store
   * @param timers the timers
   */
  public ServedVersions(
      PublishedValue<UpstreamList> upstreams,
      UpstreamListState listState,
      StoreClock storeClock,
      Timers timers) {
    this.listState = listState;
    this.storeClock = storeClock;
    upstreams.subscribe(this::onList);
    timers.every(OBSERVATION_INTERVAL_MS, () -> onConfirmed(listState.publishedMs()));
  }

  private synchronized void onConfirmed(long publishedMs) {
    if (!hasList || publishedMs <= confirmedMs) {
      return;
    }
    if (publishedMs - confirmedMs > MAX_GAP_MS) {
      sinceMs = publishedMs;
    }
    confirmedMs = publishedMs;
  }

  private synchronized void onList(UpstreamList list) {
    hasList = true;
    final long readMs = listState.readMs();
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
                    lastRegisteredMs
                        .computeIfAbsent(service, key -> new HashMap<>())
                        .put(version, REGISTERED)));
    lastRegisteredMs.forEach(
        (service, versions) ->
            endMissing(versions, registered.getOrDefault(service, Set.of()), readMs));
    lastRegisteredMs.values().removeIf(Map::isEmpty);
  }

  private static void endMissing(Map<String, Long> versions, Set<String> registered, long readMs) {
    versions.replaceAll(
        (version, lastMs) ->
            lastMs == REGISTERED && !registered.contains(version) ? readMs : lastMs);
    versions.values().removeIf(lastMs -> lastMs < readMs - RETENTION_MS);
  }

  /**
   * Reads the list from the store, so that it has all upstreams that are registered by now.
   *
   * @return when the list was complete; fails if the store cannot be read
   */
  CompletableFuture<Long> refresh() {
    return listState.refresh();
  }

  /**
   * Checks whether several versions of a service may have begun streams within a time.
   *
   * @param service the service
   * @param withinMs the time until now
   * @return false if this instance knows that one at most can have done so
   */
  boolean mayHaveSeveral(String service, long withinMs) {
    onConfirmed(listState.publishedMs());
    long nowMs = storeClock.nowMs();
    long fromMs = nowMs - withinMs - MAX_LINGER_MS;
    synchronized (this) {
      return nowMs - confirmedMs > MAX_GAP_MS
          || sinceMs > fromMs
          || versionsOf(service).values().stream().filter(lastMs -> lastMs >= fromMs).count() > 1;
    }
  }

  private Map<String, Long> versionsOf(String service) {
    return lastRegisteredMs.getOrDefault(service, Map.of());
  }

  /**
   * Returns the time in which the list had only the newest version of a service.
   *
   * @param service the service
   * @return the time until the list was last confirmed; empty if it has not had the service
   */
  Optional<VersionSpan> span(String service) {
    onConfirmed(listState.publishedMs());
    synchronized (this) {
      return newest(service)
          .map(
              version ->
                  new VersionSpan(
                      version, Math.max(sinceMs, lastOtherMs(service, version)), confirmedMs))
          .filter(span -> span.fromMs() <= span.untilMs());
    }
  }

  private Optional<String> newest(String service) {
    return versionsOf(service).entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  private long lastOtherMs(String service, String version) {
    return versionsOf(service).entrySet().stream()
        .filter(entry -> !entry.getKey().equals(version))
        .mapToLong(Map.Entry::getValue)
        .max()
        .orElse(UpstreamListState.UNKNOWN_MS);
  }

  /**
   * Returns the only version of a service that can have begun a stream.
   *
   * @param service the service
   * @param begunFromMs when the stream can have begun at the earliest
   * @param completeMs as of when the list must be complete at least; no earlier than the begin of
   *     the stream
   * @param others what other instances have had in their lists
   * @return the version; empty if there can be several or none
   */
  Optional<String> onlyVersion(
      String service, long begunFromMs, long completeMs, Collection<VersionSpan> others) {
    onConfirmed(listState.publishedMs());
    long neededFromMs = begunFromMs - MAX_LINGER_MS;
    synchronized (this) {
      return confirmedMs < completeMs
          ? Optional.empty()
          : newest(service)
              .filter(version -> lastOtherMs(service, version) < neededFromMs)
              .filter(version -> knownSinceMs(version, others) <= neededFromMs);
    }
  }

  /** Continues the known time into the past with what others have had without a gap before it. */
  private long knownSinceMs(String version, Collection<VersionSpan> others) {
    List<VersionSpan> latestFirst =
        others.stream()
            .filter(span -> span.version().equals(version))
            .sorted(Comparator.comparingLong(VersionSpan::untilMs).reversed())
            .toList();
    long fromMs = sinceMs;
    for (VersionSpan span : latestFirst) {
      fromMs = span.untilMs() >= fromMs - MAX_GAP_MS ? Math.min(fromMs, span.fromMs()) : fromMs;
    }
    return fromMs;
  }
}
