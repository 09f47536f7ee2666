package io.mothrill.core.forward.crash;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.fake.Fault;
import io.mothrill.core.forward.request.Fingerprint;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

// Guards against refusing a sound part of prompts in place of the crashing one, when both were in
// every request under which upstreams crashed.
class IndistinctSuspectsTest {

  private static final int INSTANCES = 4;

  /** The instance that detects the third crash. */
  private static final int LAST_REPORTER = 2;

  private static final String SOUND = "sound";
  private static final String CRASHING = "crashing";

  /** The longest time that a request may be held before it is sent or refused. */
  private static final long DECISION_MS = 1_100;

  /** Time in which all instances hear of a crash or an answer. */
  private static final long DELIVERED_MS = 1_000;

  private final CrashSimulation simulation = new CrashSimulation(INSTANCES, 0, 1);
  private long requestNumber;
  private int upstreamNumber;

  /** A request and what has been decided on it. */
  private final class Request {
    private final RequestCrashGuard guard;
    private final List<String> decisions = new ArrayList<>();

    Request(int instance, String... parts) {
      long number = ++requestNumber;
      guard =
          new RequestCrashGuard(
              simulation.guard(instance),
              () -> new Fingerprint(1, number),
              List.of(parts),
              simulation.timers);
    }

    Request decide() {
      decisions.clear();
      guard.decide(Runnable::run, () -> decisions.add("sent"), refused -> decisions.add("refused"));
      return this;
    }

    String decision() {
      simulation.timers.advanceMs(DECISION_MS);
      return decisions.isEmpty() ? "held" : decisions.get(0);
    }

    void crash() {
      guard.onConnectionLost(CrashSimulation.upstream(upstreamNumber++));
    }

    void answer() {
      guard.onAnswerBegun();
      guard.onSuccess();
    }
  }

  private Request request(int instance, String... parts) {
    return new Request(instance, parts).decide();
  }

  private void crashThreeUpstreams(String... parts) {
    simulation.timers.advanceMs(2_000);
    for (int number = 0; number < 3; number++) {
      new Request(number % INSTANCES, parts).crash();
      simulation.timers.advanceMs(DELIVERED_MS);
    }
  }

  private void assertServedAtAll(String... parts) {
    for (int number = 0; number < INSTANCES; number++) {
      int instance = (LAST_REPORTER + number) % INSTANCES;
      Request sound = request(instance, parts);
      assertWithMessage("at instance %s", instance).that(sound.decision()).isEqualTo("sent");
      sound.answer();
    }
  }

  private void assertRefusedAtAll(String... parts) {
    for (int instance = 0; instance < INSTANCES; instance++) {
      assertWithMessage("at instance %s", instance)
          .that(request(instance, parts).decision())
          .isEqualTo("refused");
    }
  }

  // The sound part always came in front of the crashing one.
  @Test
  void soundPartInFrontIsServed() {
    crashThreeUpstreams(SOUND, CRASHING);

    assertServedAtAll(SOUND);
    assertRefusedAtAll(SOUND, CRASHING);
    assertRefusedAtAll(CRASHING);
  }

  // The crashing part always came in front of the sound one.
  @Test
  void soundPartBehindIsServed() {
    crashThreeUpstreams(CRASHING, SOUND);

    assertServedAtAll(SOUND);
    assertRefusedAtAll(CRASHING, SOUND);
    assertRefusedAtAll(CRASHING);
  }

  // Several sound parts came with the crashing one; later requests share one or several of them.
  @Test
  void eachOfSeveralSoundPartsIsServed() {
    crashThreeUpstreams("first", CRASHING, "second", "third");

    assertServedAtAll("second", "other");
    assertServedAtAll("first", "third");
    assertRefusedAtAll("first", CRASHING);
  }

  // As long as nothing tells the parts apart, a request that has all of them has the crashing one.
  @Test
  void requestWithAllSuspectsIsRefused() {
    crashThreeUpstreams(SOUND, CRASHING);

    assertRefusedAtAll(SOUND, CRASHING, "other");
  }

  // The first request that tells the parts apart has the crashing one: one more upstream crashes,
  // and the sound part is served without a further trial.
  @Test
  void crashedTrialFreesTheOtherSuspects() {
    crashThreeUpstreams(SOUND, CRASHING);
    Request trial = request(0, CRASHING);
    assertThat(trial.decision()).isEqualTo("sent");

    trial.crash();
    simulation.timers.advanceMs(DELIVERED_MS);

    assertRefusedAtAll(CRASHING);
    assertServedAtAll(SOUND);
  }

  // Requests that tell the suspects apart come at all instances at once: one of them is sent, the
  // others wait for its outcome.
  @Test
  void trialsAreSentOneByOne() {
    crashThreeUpstreams(SOUND, CRASHING);
    List<Request> requests =
        IntStream.range(0, 3 * INSTANCES)
            .mapToObj(number -> request(number % INSTANCES, SOUND))
            .toList();
    simulation.timers.advanceMs(500);
    List<Request> sent =
        requests.stream().filter(request -> request.decisions.contains("sent")).toList();
    assertThat(sent).hasSize(1);

    sent.get(0).answer();
    simulation.timers.advanceMs(100);

    requests.forEach(request -> assertThat(request.decisions).containsExactly("sent"));
  }

  // More requests come while a trial lasts than an instance holds.
  @Test
  void requestsThatCannotBeHeldAreRefusedAtOnce() {
    crashThreeUpstreams(SOUND, CRASHING);
    List<Request> requests = IntStream.range(0, 300).mapToObj(number -> request(0, SOUND)).toList();

    assertThat(requests.stream().filter(request -> request.decisions.contains("refused")).count())
        .isAtLeast(1);
    assertThat(requests.stream().filter(request -> request.decisions.isEmpty()).count())
        .isAtLeast(200);
  }

  // The instance that sends the trial is partitioned and then ends: another one sends the next.
  @Test
  void lostTrialIsReplaced() {
    crashThreeUpstreams(SOUND, CRASHING);
    assertThat(request(0, SOUND).decision()).isEqualTo("sent");
    simulation.partition(0);
    simulation.timers.advanceMs(2_000);

    assertThat(request(1, SOUND).decision()).isEqualTo("sent");
  }

  // The upstream of the trial crashes for another reason, and the part that was tried is refused in
  // place of the crashing one. It is tried again later, so this ends by itself.
  @Test
  void refusalAfterCrashedTrialEndsByItself() {
    crashThreeUpstreams(SOUND, CRASHING);
    Request trial = request(0, SOUND);
    assertThat(trial.decision()).isEqualTo("sent");
    trial.crash();
    simulation.timers.advanceMs(DELIVERED_MS);
    assertRefusedAtAll(SOUND);

    simulation.timers.advanceMs(30_000);

    assertServedAtAll(SOUND);
  }

  // One instance receives the reports in the order of the crashes, another one in any other order.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
  void reportsInAnyOrderLeadToTheSameDecision(int seed) {
    List<CrashRecord> reports = new ArrayList<>();
    for (int crash = 0; crash < 4; crash++) {
      Crash report = new Crash("i-" + crash + "@0", "edge-0", 1_000L * crash);
      List<String> parts = crash < 3 ? List.of(SOUND, CRASHING) : List.of(CRASHING);
      parts.stream()
          .map(part -> CrashRecord.of(Fingerprint.ofPart(part)).with(report))
          .forEach(reports::add);
    }
    Collections.shuffle(reports, new Random(seed));
    simulation.timers.advanceMs(5_000);
    CrashMessage message =
        new CrashMessage(
            reports.stream()
                .map(record -> CrashMessage.Entry.of(record, simulation.timers.nowMs()))
                .toList(),
            false);

    simulation.guard(0).onMessage(message, CrashSimulation.instance(1));

    assertThat(request(0, SOUND).decision()).isEqualTo("sent");
    assertThat(request(0, CRASHING).decision()).isEqualTo("refused");
  }

  // All instances lose power while the suspects are not told apart; the new processes read the
  // reports from the table.
  @Test
  void newProcessesTellTheSuspectsApart() {
    crashThreeUpstreams(SOUND, CRASHING);
    IntStream.range(0, INSTANCES).mapToObj(CrashSimulation::instance).forEach(simulation::start);
    simulation.timers.advanceMs(100);

    assertServedAtAll(SOUND);
    assertRefusedAtAll(SOUND, CRASHING);
  }

  // All instances lose power after a trial: the new processes know its outcome.
  @Test
  void newProcessesKnowCrashedTrial() {
    crashThreeUpstreams(SOUND, CRASHING);
    Request trial = request(0, CRASHING);
    assertThat(trial.decision()).isEqualTo("sent");
    trial.crash();
    simulation.timers.advanceMs(3_000);
    IntStream.range(0, INSTANCES).mapToObj(CrashSimulation::instance).forEach(simulation::start);
    simulation.timers.advanceMs(100);

    assertRefusedAtAll(CRASHING);
    assertServedAtAll(SOUND);
  }

  // The store does not answer: no trial is sent, and the caller is told to come back soon.
  @Test
  void withoutStoreNoTrialIsSent() {
    crashThreeUpstreams(SOUND, CRASHING);
    simulation.table.faults().setFault(Fault.DOWN);
    Request sound = request(0, SOUND);
    assertThat(sound.decision()).isEqualTo("refused");

    simulation.table.faults().setFault(Fault.NONE);
    simulation.timers.advanceMs(1_000);

    assertThat(request(0, SOUND).decision()).isEqualTo("sent");
  }

  // A sound part was lost with an upstream that crashed for another reason before.
  @Test
  void crashForAnotherReasonDoesNotIdentifySoundPartAsCause() {
    simulation.timers.advanceMs(2_000);
    new Request(0, SOUND).crash();
    simulation.timers.advanceMs(DELIVERED_MS);
    crashThreeUpstreams(SOUND, CRASHING);

    assertServedAtAll(SOUND);
    assertRefusedAtAll(CRASHING);
  }

  // Two parts crash upstreams, each with the same sound part in front of it.
  @Test
  void severalCrashingPartsAreToldFromTheSoundOne() {
    crashThreeUpstreams(SOUND, CRASHING);
    crashThreeUpstreams(SOUND, "other " + CRASHING);

    assertServedAtAll(SOUND);
    assertRefusedAtAll(SOUND, CRASHING);
    assertRefusedAtAll(SOUND, "other " + CRASHING);
  }
}
