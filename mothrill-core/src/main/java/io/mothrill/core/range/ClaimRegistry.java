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
  private final Map<RequestKey, StoredClaim> claimsByKey = new LinkedHashMap<>();

  ClaimRegistry(Timers timers) {
    this.timers = timers;
  }

  private record StoredClaim(SoleClaim claim, long atMs, boolean inTable) {}

  synchronized Optional<SoleClaim> find(RequestKey key) {
    return Optional.ofNullable(claimsByKey.get(key)).map(StoredClaim::claim);
  }

  /** Adds a claim unless the key already has one, and returns the claim that the key has then. */
  synchronized SoleClaim putIfAbsent(SoleClaim claim, boolean inTable) {
    StoredClaim stored =
        claimsByKey.merge(
            claim.key(),
            new StoredClaim(claim, timers.nowMs(), inTable),
            (existing, added) ->
                new StoredClaim(
                    existing.claim(), existing.atMs(), existing.inTable() || added.inTable()));
    return stored.claim();
  }

  synchronized void remove(SoleClaim claim) {
    claimsByKey.computeIfPresent(
        claim.key(), (key, existing) -> existing.claim().equals(claim) ? null : existing);
  }

  synchronized List<SoleClaim> all() {
    return claimsByKey.values().stream().map(StoredClaim::claim).toList();
  }

  synchronized List<SoleClaim> notInTable() {
    return claimsByKey.values().stream()
        .filter(entry -> !entry.inTable())
        .map(StoredClaim::claim)
        .toList();
  }

  synchronized void evictExpired(long windowMs) {
    long oldestMs = timers.nowMs() - windowMs;
    claimsByKey.values().removeIf(entry -> entry.atMs() < oldestMs && entry.inTable());
  }
}
