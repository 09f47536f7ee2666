package io.mothrill.lab.standin;

import io.mothrill.core.routing.LoadReport;
import io.mothrill.core.time.Timers;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs sequences with continuous batching: a queued sequence starts as soon as a slot is free,
 * urgent ones first.
 */
final class EngineBatch {

  private final EngineSettings settings;
  private final Timers timers;
  private final Deque<Sequence> urgent = new ArrayDeque<>();
  private final Deque<Sequence> batch = new ArrayDeque<>();
  private final List<Sequence> running = new ArrayList<>();
  private final Map<String, Boolean> cachedPrompts;
  private final Map<String, Integer> runs = new LinkedHashMap<>();
  private final Map<String, Sequence> sequencesById = new HashMap<>();
  private final AtomicLong tokens = new AtomicLong();
  private volatile LoadReport sampledLoad = new LoadReport(0, 0, false, 0);

  EngineBatch(EngineSettings settings, Timers timers) {
    this.settings = settings;
    this.timers = timers;
    this.cachedPrompts =
        new LinkedHashMap<>(16, 0.75f, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > settings.cachePrefixes();
          }
        };
    timers.every(settings.stepMs(), this::step);
    timers.every(settings.loadLagMs(), this::sampleLoad);
  }

  synchronized void add(Sequence sequence) {
    runs.merge(sequence.requestId(), 1, Integer::sum);
    sequencesById.put(sequence.requestId(), sequence);
    enqueue(sequence);
  }

  /** Resumes an interrupted stream; this is not counted as another run. */
  synchronized void resume(Sequence sequence) {
    enqueue(sequence);
  }

  synchronized Optional<Sequence> find(String requestId) {
    return Optional.ofNullable(sequencesById.get(requestId));
  }

  private void enqueue(Sequence sequence) {
    (sequence.isUrgent() ? urgent : batch).addLast(sequence);
  }

  private void step() {
    List<Sequence> active;
    synchronized (this) {
      fillSlots();
      active = new ArrayList<>(running);
    }
    List<Sequence> finished = new ArrayList<>();
    for (Sequence sequence : active) {
      int before = sequence.emitted();
      if (!sequence.step()) {
        finished.add(sequence);
      }
      tokens.addAndGet(sequence.emitted() - before);
    }
    synchronized (this) {
      running.removeAll(finished);
    }
  }

  private void fillSlots() {
    urgent.removeIf(Sequence::isCancelled);
    batch.removeIf(Sequence::isCancelled);
    while (running.size() < settings.slots() && !(urgent.isEmpty() && batch.isEmpty())) {
      Sequence next = urgent.isEmpty() ? batch.pollFirst() : urgent.pollFirst();
      boolean cached = cachedPrompts.put(next.prompt(), true) != null;
      next.startPrefill(cached ? 0 : next.promptTokens() / settings.prefillTokensPerStep());
      running.add(next);
    }
  }

  private synchronized void sampleLoad() {
    sampledLoad =
        new LoadReport(running.size(), urgent.size() + batch.size(), false, timers.nowMs());
  }

  /** Returns the last sampled load, which is up to {@code loadLagMs} old. */
  LoadReport load() {
    return sampledLoad;
  }

  long tokens() {
    return tokens.get();
  }

  synchronized Map<String, Integer> runs() {
    return Collections.unmodifiableMap(new LinkedHashMap<>(runs));
  }
}
