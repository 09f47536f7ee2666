package io.mothrill.core.range;

import io.mothrill.core.request.RequestKey;
import io.mothrill.core.time.Timers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The claims of unrepeatable requests in a range, within their retention. */
final class ClaimRegistry {

  private final Timers timers;
  private final Map<RequestKey, StoredClaim> held = new LinkedHashMap<>();

  ClaimRegistry(Timers timers) {
    this.timers = timers;
  }

  private record StoredClaim(SoleClaim claim, long atMs, boolean inTable) {}

  synchronized Optional<SoleClaim> find(RequestKey key) {
    return Optional.ofNullable(held.get(key)).map(StoredClaim::claim);
  }

  /** Adds a claim unless the key already has one, and returns the claim that the key has then. */
  synchronized SoleClaim putIfAbsent(SoleClaim claim, boolean inTable) {
    StoredClaim kept =
        held.merge(
            claim.key(),
            new StoredClaim(claim, timers.nowMs(), inTable),
            (before, now) ->
                new StoredClaim(before.claim(), before.atMs(), before.inTable() || now.inTable()));
    return kept.claim();
  }

  synchronized void remove(SoleClaim claim) {
    held.computeIfPresent(
        claim.key(), (key, before) -> before.claim().equals(claim) ? null : before);
  }

  synchronized List<SoleClaim> all() {
    return held.values().stream().map(StoredClaim::claim).toList();
  }

  synchronized List<SoleClaim> notInTable() {
    return held.values().stream()
        .filter(entry -> !entry.inTable())
        .map(StoredClaim::claim)
        .toList();
  }

  synchronized void evictExpired(long windowMs) {
    long oldestMs = timers.nowMs() - windowMs;
    held.values().removeIf(entry -> entry.atMs() < oldestMs && entry.inTable());
  }
}
