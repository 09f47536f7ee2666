package io.mothrill.core.forward.upstream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the newest word of each upstream, so that an older one that arrives late changes
 * nothing.
 *
 * <p>Failure: an upstream starts again under its id, and a report that its earlier process had sent
 * is written after that. Symptom: requests go to an address where nobody listens any more, or to an
 * upstream that has already said that it leaves. An older word is therefore replaced by the newest
 * one as long as the upstream is in the list, and counts for nothing afterwards.
 */
public final class StaleRegistrationFilter {

  /** Twice the upstreams that one fleet is designed for; some hundred bytes each. */
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
   * Puts the newest known words in place of older ones.
   *
   * @param read the list as it was read
   * @param before the list before it
   * @return the list without older words
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
