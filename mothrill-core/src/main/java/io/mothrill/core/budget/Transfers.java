package io.mothrill.core.budget;

import io.mothrill.core.time.Timers;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Remembers what was answered to a transfer, so that asking again moves no further tokens. */
final class Transfers<T> {

  private final Map<String, Entry<T>> answers = new LinkedHashMap<>();
  private final Timers timers;
  private final long keepMs;

  Transfers(Timers timers, long keepMs) {
    this.timers = timers;
    this.keepMs = keepMs;
  }

  private record Entry<T>(T answer, long atMs) {}

  synchronized Optional<T> find(String transferId) {
    return Optional.ofNullable(answers.get(transferId)).map(Entry::answer);
  }

  synchronized void remember(String transferId, T answer) {
    forgetOld();
    answers.put(transferId, new Entry<>(answer, timers.nowMs()));
  }

  private void forgetOld() {
    long oldestMs = timers.nowMs() - keepMs;
    Iterator<Entry<T>> entries = answers.values().iterator();
    while (entries.hasNext() && entries.next().atMs() < oldestMs) {
      entries.remove();
    }
  }
}
