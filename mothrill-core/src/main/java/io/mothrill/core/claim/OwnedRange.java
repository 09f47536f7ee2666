package io.mothrill.core.claim;

import io.mothrill.core.platform.Row;
import io.mothrill.core.request.RequestKey;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A range that this incarnation owns, with every claim in it that is not older than the window. */
final class OwnedRange {

  private final Timers timers;
  private final Map<RequestKey, Held> held = new LinkedHashMap<>();
  private Row row;

  OwnedRange(Row row, Timers timers) {
    this.row = row;
    this.timers = timers;
  }

  private record Held(SoleClaim claim, long atMs, boolean inTable) {}

  synchronized Row row() {
    return row;
  }

  synchronized void row(Row changed) {
    row = changed;
  }

  RangeRow state() {
    return RangeRow.of(row());
  }

  synchronized Optional<SoleClaim> find(RequestKey key) {
    return Optional.ofNullable(held.get(key)).map(Held::claim);
  }

  /** Keeps a claim unless the key has one, and gives the claim that the key has now. */
  synchronized SoleClaim hold(SoleClaim claim, boolean inTable) {
    Held kept =
        held.merge(
            claim.key(),
            new Held(claim, timers.nowMs(), inTable),
            (before, now) ->
                new Held(before.claim(), before.atMs(), before.inTable() || now.inTable()));
    return kept.claim();
  }

  synchronized void drop(SoleClaim claim) {
    held.computeIfPresent(
        claim.key(), (key, before) -> before.claim().equals(claim) ? null : before);
  }

  synchronized List<SoleClaim> notInTable() {
    return held.values().stream().filter(entry -> !entry.inTable()).map(Held::claim).toList();
  }

  synchronized void noteInTable(List<SoleClaim> claims) {
    new ArrayList<>(claims).forEach(claim -> hold(claim, true));
  }

  synchronized void forgetBefore(long oldestMs) {
    held.values().removeIf(entry -> entry.atMs() < oldestMs && entry.inTable());
  }

  synchronized int size() {
    return held.size();
  }
}
