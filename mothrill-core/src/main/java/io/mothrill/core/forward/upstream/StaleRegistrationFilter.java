package io.mothrill.core.forward.upstream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the newest registration of each upstream, so that an older one that arrives late has no
 * effect.
 *
 * <p>When an upstream restarts under its id, a registration sent by its earlier process may be
 * written after that. Requests would then go to an address where no process listens any more, or to
 * an upstream that has already announced that it is leaving. An older registration is therefore
 * replaced by the newest one as long as the upstream is in the list, and ignored afterwards.
 */
public final class StaleRegistrationFilter {

  /** Twice the number of upstreams that a fleet is designed for; some hundred bytes each. */
  private static final int MAX_UPSTREAMS = 20_000;

  private final Map<String, RegistrationVersion> newest =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RegistrationVersion> eldest) {
          return size() > MAX_UPSTREAMS;
        }
      };

  /**
   * Replaces stale registrations by the newest known ones.
   *
   * @param read the list as it was read
   * @param before the previous list
   * @return the list without stale registrations
   */
  public synchronized UpstreamList replaceStale(UpstreamList read, UpstreamList before) {
    List<RegisteredUpstream> current =
        read.all().stream()
            .map(upstream -> newestOf(upstream, before))
            .flatMap(Optional::stream)
            .toList();
    return new UpstreamList(current);
  }

  private Optional<RegisteredUpstream> newestOf(RegisteredUpstream upstream, UpstreamList before) {
    RegistrationVersion known = newest.get(upstream.id());
    if (known != null && upstream.registrationVersion().isOlderThan(known)) {
      return before
          .find(upstream.id())
          .filter(earlier -> earlier.registrationVersion().equals(known));
    }
    newest.put(upstream.id(), upstream.registrationVersion());
    return Optional.of(upstream);
  }
}
