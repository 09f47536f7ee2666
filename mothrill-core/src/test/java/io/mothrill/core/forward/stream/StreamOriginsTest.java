package io.mothrill.core.forward.stream;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.WallClockStoreClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Guards against streams that go on at another version after their instance has died, and against
// streams that do not go on although their origin can be known.
class StreamOriginsTest {

  private static final String SERVICE = "asistan";
  private static final long KEEP_MS = 17_000;

  /** Upstreams that have left the list serve on for up to 20 s. */
  private static final long KNOWN_AFTER_MS = KEEP_MS + 21_000;

  private static final int DOMAINS = 4;
  private static final int HOP_MS = 3;
  private static final double LOST = 0.03;

  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final StoreClock storeClock = new WallClockStoreClock(timers);
  private final List<Instance> fleet = new ArrayList<>();
  private Random random = new Random(1);
  private UpstreamList registered = list("v1");

  private static UpstreamList list(String... versions) {
    return new UpstreamList(
        IntStream.range(0, versions.length)
            .mapToObj(number -> upstream("i-" + number, versions[number]))
            .toList());
  }

  private static RegisteredUpstream upstream(String id, String version) {
    return new RegisteredUpstream(
        id,
        SERVICE,
        version,
        "10.0.0.1",
        80 + id.hashCode() % 50,
        "d0",
        6,
        false,
        OptionalLong.empty(),
        RegistrationVersion.UNKNOWN);
  }

  private void startFleet(int count) {
    List<InstanceRecord> records =
        IntStream.range(0, count)
            .mapToObj(
                number ->
                    new InstanceRecord(
                        "e" + number,
                        "e" + number,
                        "d" + number % DOMAINS,
                        "10.1.0." + number,
                        number,
                        false))
            .toList();
    records.forEach(record -> fleet.add(new Instance(record, records)));
  }

  private void register(String... versions) {
    registered = list(versions);
  }

  /** An instance, which may die and start again without its memory. */
  private final class Instance {
    private final InstanceRecord self;
    private final List<InstanceRecord> others;
    private StreamOrigins origins;
    private boolean isAlive = true;
    private int side;

    Instance(InstanceRecord self, List<InstanceRecord> all) {
      this.self = self;
      this.others = all.stream().filter(other -> !other.equals(self)).toList();
      start();
    }

    private void start() {
      PolledUpstreamList upstreams =
          new PolledUpstreamList(() -> registered, () -> side == 0, timers);
      ServedVersions served =
          new ServedVersions(upstreams.published(), upstreams, storeClock, timers);
      origins =
          new StreamOrigins(self, () -> others, served, this::send, table, storeClock, timers);
    }

    private void send(StreamNotice notice, List<InstanceRecord> to) {
      to.stream()
          .map(other -> fleet.get(other.peerPort()))
          .filter(other -> random.nextDouble() >= LOST)
          .forEach(
              other ->
                  timers.after(
                      1 + random.nextInt(HOP_MS),
                      () -> {
                        if (isAlive && other.isAlive && other.side == side) {
                          other.origins.onNotice(
                              notice, InstanceRecord.ofAddress(self.host(), self.peerPort()));
                        }
                      }));
    }

    void begin(String id, String version) {
      StreamPin pin = origins.pin(id, KEEP_MS, Optional.empty());
      pin.onSent(upstream("i-0", version));
      timers.after(40, () -> pin.onFirstEvent(upstream("i-0", version)));
    }

    void restart() {
      isAlive = false;
      timers.after(
          500,
          () -> {
            start();
            isAlive = true;
          });
    }
  }

  private Optional<StreamOrigin> find(Instance at, String id) {
    CompletableFuture<Optional<StreamOrigin>> found = at.origins.find(id, SERVICE, KEEP_MS);
    timers.advanceMs(300);
    assertWithMessage("decided in time").that(found.isDone()).isTrue();
    return found.join();
  }

  // Two versions serve side by side; instances are killed one or two at a time, and their streams
  // are taken up elsewhere, mostly in the same domain. No stream goes on at the other version, and
  // nine of ten go on.
  @ParameterizedTest
  @CsvSource({"6, 1", "6, 2", "8, 3", "8, 4", "62, 5"})
  void streamsOfKilledInstancesGoOnAtTheirVersion(int count, long seed) {
    random = new Random(seed);
    startFleet(count);
    register("v1", "v1.1", "v1", "v1.1");
    timers.advanceMs(KNOWN_AFTER_MS);
    int known = 0;
    int all = 0;
    for (int round = 0; round < 30; round++) {
      final Instance dying = fleet.get(random.nextInt(count));
      final Instance alsoDying = fleet.get(random.nextInt(count));
      List<String> versions =
          Stream.generate(() -> random.nextBoolean() ? "v1" : "v1.1").limit(10).toList();
      for (int stream = 0; stream < versions.size(); stream++) {
        dying.begin(round + "-" + stream, versions.get(stream));
      }
      timers.advanceMs(100);
      dying.restart();
      alsoDying.restart();
      timers.advanceMs(20);
      for (int stream = 0; stream < versions.size(); stream++) {
        Optional<StreamOrigin> found = find(takerOf(dying), round + "-" + stream);
        all++;
        known += found.isPresent() ? 1 : 0;
        assertThat(found.map(StreamOrigin::version).orElse(versions.get(stream)))
            .isEqualTo(versions.get(stream));
      }
      timers.advanceMs(2_000);
    }
    assertThat(known).isAtLeast(all * 9 / 10);
  }

  private Instance takerOf(Instance dead) {
    List<Instance> alive = fleet.stream().filter(instance -> instance.isAlive).toList();
    List<Instance> near =
        alive.stream()
            .filter(instance -> instance.self.domain().equals(dead.self.domain()))
            .toList();
    List<Instance> from = near.isEmpty() || random.nextInt(10) == 0 ? alive : near;
    return from.get(random.nextInt(from.size()));
  }

  @Test
  void onlyVersionOfTheTimeNeedsNoRecord() {
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);

    assertThat(find(fleet.get(0), "unknown")).hasValue(new StreamOrigin(SERVICE, "v1"));
  }

  // A version that has left lately may have begun the stream.
  @Test
  void streamIsNotContinuedWhileTwoVersionsCanHaveBegunIt() {
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);
    register("v1", "v1.1");
    register("v1.1");

    assertThat(find(fleet.get(0), "unknown")).isEmpty();

    timers.advanceMs(KNOWN_AFTER_MS);
    assertThat(find(fleet.get(0), "unknown")).hasValue(new StreamOrigin(SERVICE, "v1.1"));
  }

  // On a route that is split, the stream may have begun at another service.
  @Test
  void onlyVersionOfOneServiceIsNotEnoughForSeveral() {
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);

    CompletableFuture<Optional<StreamOrigin>> found =
        fleet.get(0).origins.find("unknown", "", KEEP_MS);
    timers.advanceMs(300);

    assertThat(found.join()).isEmpty();
  }

  // An instance has just started; the others know that there has been one version only.
  @Test
  void startedInstanceLearnsFromOthersThatThereIsOneVersion() {
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);
    fleet.get(0).restart();
    timers.advanceMs(1_000);

    assertThat(find(fleet.get(0), "unknown")).hasValue(new StreamOrigin(SERVICE, "v1"));
  }

  // An instance that is cut off does not know whether another version serves by now.
  @Test
  void instanceThatIsCutOffDoesNotGuess() {
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);
    fleet.get(0).side = 1;

    assertThat(find(fleet.get(0), "unknown")).isEmpty();
  }

  @Test
  void upstreamsWithoutVersionCountAsOne() {
    registered = list("", "");
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);

    assertThat(find(fleet.get(0), "unknown")).hasValue(new StreamOrigin(SERVICE, ""));
  }

  // The plan shortens the timeout of a route. Streams that began before last as long as it allowed
  // then, and their version may have left meanwhile.
  @Test
  void streamsFromBeforeTimeoutWasShortenedAreNotGuessed() {
    startFleet(6);
    timers.advanceMs(KNOWN_AFTER_MS);
    fleet.get(1).begin("known", "v1");
    timers.advanceMs(100);
    register("v1.1");
    timers.advanceMs(KEEP_MS / 2);

    CompletableFuture<Optional<StreamOrigin>> found =
        fleet.get(1).origins.find("unknown", SERVICE, KEEP_MS / 4);
    timers.advanceMs(300);

    assertThat(found.join()).isEmpty();
  }

  // Guards against a writer that writes only the streams that it begins itself: those of the other
  // instances in its domain are unknown after all have lost their memory.
  @Test
  void streamsOfEveryInstanceOutlastPowerLoss() {
    startFleet(6);
    register("v1", "v1.1");
    timers.advanceMs(KNOWN_AFTER_MS);
    for (int stream = 0; stream < 20; stream++) {
      for (int number = 0; number < fleet.size(); number++) {
        fleet.get(number).begin(number + "-" + stream, stream % 2 == 0 ? "v1" : "v1.1");
      }
      timers.advanceMs(50);
    }
    timers.advanceMs(500);
    fleet.forEach(Instance::restart);
    timers.advanceMs(1_000);

    List<List<CompletableFuture<Optional<StreamOrigin>>>> found =
        IntStream.range(0, fleet.size()).mapToObj(this::findAllOf).toList();
    timers.advanceMs(300);

    for (int number = 0; number < fleet.size(); number++) {
      assertWithMessage("known streams of instance %s", number)
          .that(found.get(number).stream().filter(origin -> origin.join().isPresent()).count())
          .isAtLeast(18);
    }
  }

  private List<CompletableFuture<Optional<StreamOrigin>>> findAllOf(int number) {
    return IntStream.range(0, 20)
        .mapToObj(stream -> fleet.get(0).origins.find(number + "-" + stream, SERVICE, KEEP_MS))
        .toList();
  }

  @Test
  void recordsExpire() {
    OriginRecords records = new OriginRecords(timers);
    assertThat(records.add("a", new StreamOrigin(SERVICE, "v1.1"), KEEP_MS)).isPresent();

    assertThat(records.find("a").orElseThrow().origin().orElseThrow().version()).isEqualTo("v1.1");

    timers.advanceMs(KEEP_MS + 1);
    assertThat(records.find("a").isPresent()).isFalse();
  }
}
