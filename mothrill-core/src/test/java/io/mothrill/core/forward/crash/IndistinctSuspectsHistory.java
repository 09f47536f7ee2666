package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A seeded history in which a crashing part of prompts always comes with the same sound parts,
 * until it has crashed three upstreams. Callers that are refused come again when they are told to.
 */
final class IndistinctSuspectsHistory {

  private static final String CRASHING_PART = "crashing";
  private static final int UPSTREAMS = 18;
  private static final int MAX_SOUND_PARTS = 3;
  private static final int MAX_PREFILL_MS = 300;
  private static final int RETURN_MS = 3_000;
  private static final int START_MS = 2_000;
  private static final int MAX_CRASHING_PAUSE_MS = 800;
  private static final int MAX_SOUND_PAUSE_MS = 120;

  private final CrashSimulation simulation;
  private final SplittableRandom random;
  private final int instances;
  private final List<String> soundParts;
  private final Map<Integer, List<Call>> callsByUpstream = new HashMap<>();
  private final int crashingIndex;
  private long nextRequest;
  private int upstreamStarts = UPSTREAMS;
  private int crashesByPart;
  private int sound;
  private int soundSent;
  private long longestRefusalMs;

  /** A request of a caller, who repeats it with another id after a refusal. */
  private final class Call {
    private final boolean isCrashing;
    private final List<String> parts;
    private final long cameMs = simulation.timers.nowMs();
    private RequestCrashGuard guard;

    Call(boolean isCrashing, List<String> parts) {
      this.isCrashing = isCrashing;
      this.parts = parts;
    }

    void send() {
      long request = ++nextRequest;
      guard =
          new RequestCrashGuard(
              simulation.guard(random.nextInt(instances)),
              () -> new Fingerprint(1, request),
              parts,
              simulation.timers);
      decide();
    }

    void decide() {
      guard.decide(Runnable::run, this::run, record -> onRefused());
    }

    private void onRefused() {
      guard.onEnded();
      if (isCrashing) {
        crashingEnded();
        return;
      }
      long retryAfterMs = guard.retryAfterMs();
      long againMs = simulation.timers.nowMs() + retryAfterMs;
      longestRefusalMs = Math.max(longestRefusalMs, againMs - cameMs);
      simulation.timers.after(retryAfterMs, this::send);
    }

    private void run() {
      if (callsByUpstream.isEmpty()) {
        return;
      }
      int upstream = randomUpstream();
      callsByUpstream.get(upstream).add(this);
      simulation.timers.after(20 + random.nextInt(MAX_PREFILL_MS), () -> begin(upstream));
    }

    private void begin(int upstream) {
      if (!callsByUpstream.getOrDefault(upstream, List.of()).contains(this)) {
        return;
      }
      if (isCrashing) {
        crashesByPart++;
        crash(upstream);
        crashingEnded();
        return;
      }
      callsByUpstream.get(upstream).remove(this);
      soundSent++;
      guard.onAnswerBegun();
      guard.onSuccess();
      guard.onEnded();
    }
  }

  IndistinctSuspectsHistory(int instances, double lossShare, long seed) {
    this.simulation = new CrashSimulation(instances, lossShare, seed, 2_000);
    this.random = new SplittableRandom(seed);
    this.instances = instances;
    this.soundParts =
        IntStream.range(0, 1 + random.nextInt(MAX_SOUND_PARTS))
            .mapToObj(number -> "sound-" + number)
            .toList();
    this.crashingIndex = random.nextInt(soundParts.size() + 1);
    IntStream.range(0, UPSTREAMS)
        .forEach(upstream -> callsByUpstream.put(upstream, new ArrayList<>()));
    simulation.timers.advanceMs(START_MS);
  }

  /**
   * Plays crashing requests one after the other and, from the third crash on, sound ones.
   *
   * @param durationMs how long
   * @param chanceIntervalMs the interval at which upstreams crash for another reason; 0 if they
   *     don't
   * @param restartAfterMs the time after which all instances are replaced; 0 if they are not
   */
  void play(int durationMs, int chanceIntervalMs, int restartAfterMs) {
    simulation.timers.after(0, this::sendCrashing);
    for (int atMs = 1; atMs <= durationMs; atMs++) {
      simulation.timers.advanceMs(1);
      if (crashesByPart >= CrashRecord.MAX_CRASHES && random.nextInt(MAX_SOUND_PAUSE_MS) < 2) {
        sendSound();
      }
      if (chanceIntervalMs > 0 && atMs % chanceIntervalMs == 0 && !callsByUpstream.isEmpty()) {
        crash(randomUpstream());
      }
      if (atMs == restartAfterMs) {
        IntStream.range(0, instances)
            .mapToObj(CrashSimulation::instance)
            .forEach(simulation::start);
        simulation.timers.advanceMs(10);
      }
    }
  }

  /** Later requests with the crashing part have only some of the sound ones. */
  private void sendCrashing() {
    List<String> parts = new ArrayList<>(soundParts);
    parts.add(crashingIndex, CRASHING_PART);
    if (crashesByPart >= CrashRecord.MAX_CRASHES && random.nextBoolean()) {
      parts.removeIf(part -> !part.equals(CRASHING_PART) && random.nextBoolean());
    }
    new Call(true, parts).send();
  }

  private void crashingEnded() {
    simulation.timers.after(20 + random.nextInt(MAX_CRASHING_PAUSE_MS), this::sendCrashing);
  }

  private void sendSound() {
    sound++;
    List<String> parts = new ArrayList<>(soundParts);
    parts.removeIf(part -> parts.size() > 1 && random.nextBoolean());
    new Call(false, parts).send();
  }

  private int randomUpstream() {
    List<Integer> running = List.copyOf(callsByUpstream.keySet());
    return running.get(random.nextInt(running.size()));
  }

  private void crash(int upstream) {
    List<Call> lost = callsByUpstream.remove(upstream);
    lost.forEach(call -> call.guard.onConnectionLost(CrashSimulation.upstream(upstream)));
    lost.stream().filter(call -> !call.isCrashing).forEach(Call::decide);
    lost.stream().filter(call -> call.isCrashing).forEach(call -> call.guard.onEnded());
    simulation.timers.after(
        RETURN_MS, () -> callsByUpstream.put(upstreamStarts++, new ArrayList<>()));
  }

  int crashesByPart() {
    return crashesByPart;
  }

  int sound() {
    return sound;
  }

  int soundSent() {
    return soundSent;
  }

  /** Returns the longest time from the first refusal of a sound request to its next attempt. */
  long longestRefusalMs() {
    return longestRefusalMs;
  }
}
