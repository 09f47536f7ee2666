package io.mothrill.core.budget;

import io.mothrill.core.time.Timers;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Caches the replies to transfers, so that a repeated request does not move more tokens. */
final class TransferReplyCache<T> {

  private final Map<String, Entry<T>> replies = new LinkedHashMap<>();
  private final Timers timers;
  private final long retentionMs;

  TransferReplyCache(Timers timers, long retentionMs) {
    this.timers = timers;
    this.retentionMs = retentionMs;
  }

  private record Entry<T>(T reply, long atMs) {}

  synchronized Optional<T> find(String transferId) {
    return Optional.ofNullable(replies.get(transferId)).map(Entry::reply);
  }

  synchronized void put(String transferId, T reply) {
    evictExpired();
    replies.put(transferId, new Entry<>(reply, timers.nowMs()));
  }

  private void evictExpired() {
    long oldestMs = timers.nowMs() - retentionMs;
    Iterator<Entry<T>> entries = replies.values().iterator();
    while (entries.hasNext() && entries.next().atMs() < oldestMs) {
      entries.remove();
    }
  }
}
