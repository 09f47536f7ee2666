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
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

// Guards against streams that are taken up at another version because one list of upstreams, or one
// record, is behind what other instances know, at each age that it may have.
class LateListTest {

  private static final String SERVICE = "asistan";
  private static final String OLD = "v1";
  private static final String NEW = "v1.1";
  private static final String ID = "a1";
  private static final long KEEP_MS = 17_000;

  /** Longer than a stream and than upstreams linger that have left the list. */
  private static final long CALM_MS = 40_000;

  private static final int DOMAINS = 4;
  private static final int HOP_MS = 2;

  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final StoreClock storeClock = new WallClockStoreClock(timers);
  private final List<Instance> fleet = new ArrayList<>();
  private UpstreamList registered = list(OLD);

  private static Stream<Arguments> fleetsAndAges() {
    return Stream.concat(
        Stream.of(100, 300, 500, 1_000, 2_000, 3_500, 5_000).map(ageMs -> Arguments.of(6, ageMs)),
        Stream.of(300, 2_000).map(ageMs -> Arguments.of(62, ageMs)));
  }

  private static UpstreamList list(String... versions) {
    return new UpstreamList(Stream.of(versions).map(LateListTest::upstream).toList());
  }

  private static RegisteredUpstream upstream(String version) {
    return new RegisteredUpstream(
        "i-" + version,
        SERVICE,
        version,
        "10.0.0.1",
        80,
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
    timers.advanceMs(CALM_MS);
  }

  private Instance first() {
    return fleet.get(0);
  }

  private Instance second() {
    return fleet.get(1);
  }

  private Instance last() {
    return fleet.get(fleet.size() - 1);
  }

  /** An instance whose paths to the store and to other instances may be cut. */
  private final class Instance {
    private final InstanceRecord self;
    private final StreamOrigins origins;
    private boolean reachesStore = true;
    private boolean reachesOthers = true;
    private boolean losesRecords;

    Instance(InstanceRecord self, List<InstanceRecord> all) {
      this.self = self;
      PolledUpstreamList upstreams =
          new PolledUpstreamList(() -> registered, () -> reachesStore, timers);
      List<InstanceRecord> others = all.stream().filter(other -> !other.equals(self)).toList();
      this.origins =
          new StreamOrigins(
              self,
              () -> others,
              new ServedVersions(upstreams.published(), upstreams, storeClock, timers),
              this::send,
              table,
              storeClock,
              timers);
    }

    private void send(StreamNotice notice, List<InstanceRecord> to) {
      if (reachesOthers && !(losesRecords && notice instanceof StreamNotice.Record)) {
        to.stream()
            .map(peer -> fleet.get(peer.peerPort()))
            .forEach(peer -> timers.after(HOP_MS, () -> peer.receive(notice, self)));
      }
    }

    private void receive(StreamNotice notice, InstanceRecord from) {
      if (reachesOthers) {
        origins.onNotice(notice, InstanceRecord.ofAddress(from.host(), from.peerPort()));
      }
    }

    private void cutOff() {
      reachesStore = false;
      reachesOthers = false;
    }

    private void reconnect() {
      reachesStore = true;
      reachesOthers = true;
    }
  }

  private void begin(Instance at, String version) {
    StreamPin pin = at.origins.pin(ID, KEEP_MS, Optional.empty());
    pin.onSent(upstream(version));
    pin.onFirstEvent(upstream(version));
  }

  private Optional<String> takeUp(Instance at) {
    CompletableFuture<Optional<StreamOrigin>> found = at.origins.find(ID, SERVICE, KEEP_MS);
    timers.advanceMs(300);
    assertWithMessage("decided in time").that(found.isDone()).isTrue();
    return found.join().map(StreamOrigin::version);
  }

  // An instance that is cut off from all while a version joins does not know of it.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void instanceThatIsCutOffDoesNotGuess(int count, int ageMs) {
    startFleet(count);
    first().cutOff();
    registered = list(OLD, NEW);
    timers.advanceMs(ageMs / 2);
    begin(last(), NEW);
    timers.advanceMs(ageMs - ageMs / 2);

    assertThat(takeUp(first())).isEmpty();
  }

  // An instance that cannot read the list asks those that have the record.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void instanceWithLateListAsksOthers(int count, int ageMs) {
    startFleet(count);
    first().reachesStore = false;
    registered = list(OLD, NEW);
    timers.advanceMs(ageMs / 2);
    begin(last(), NEW);
    timers.advanceMs(ageMs - ageMs / 2);

    assertThat(takeUp(first())).hasValue(NEW);
  }

  // An instance that is back after standing still or a cut has a list from before, which looks
  // young until it is read again.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void instanceThatIsBackAsksOthers(int count, int ageMs) {
    startFleet(count);
    first().cutOff();
    registered = list(OLD, NEW);
    timers.advanceMs(ageMs / 2);
    begin(last(), NEW);
    timers.advanceMs(ageMs - ageMs / 2);
    first().reconnect();

    assertThat(takeUp(first())).hasValue(NEW);
  }

  // Nobody has the record. One of those asked has a list from before the version joined.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void lateListOfAnotherInstanceDoesNotCount(int count, int ageMs) {
    startFleet(count);
    second().reachesStore = false;
    last().losesRecords = true;
    registered = list(OLD, NEW);
    timers.advanceMs(ageMs / 2);
    begin(last(), NEW);
    timers.advanceMs(ageMs - ageMs / 2);
    last().cutOff();

    assertThat(takeUp(first())).isEmpty();
  }

  // Nobody has the record, and no list was read since the version joined.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void listFromBeforeTheStreamDoesNotCount(int count, int ageMs) {
    startFleet(count);
    fleet.forEach(instance -> instance.losesRecords = true);
    registered = list(OLD, NEW);
    begin(last(), NEW);
    timers.advanceMs(ageMs % 499);
    last().cutOff();

    assertThat(takeUp(first())).isEmpty();
  }

  // The instance has sent the request to a version that brought no event; the caller has sent it
  // again under the same id, and another instance has begun the stream.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void attemptWithoutEventIsNoOrigin(int count, int ageMs) {
    startFleet(count);
    registered = list(OLD, NEW);
    first().origins.pin(ID, KEEP_MS, Optional.empty()).onSent(upstream(OLD));
    timers.advanceMs(ageMs / 2);
    begin(last(), NEW);
    timers.advanceMs(ageMs - ageMs / 2);

    assertThat(takeUp(first())).hasValue(NEW);
  }

  // Others know the first attempt, which brought no event; the second one and its first event lie
  // behind a cut, and their instance is gone.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void attemptThatOthersKnowIsNoOrigin(int count, int ageMs) {
    startFleet(count);
    registered = list(OLD, NEW);
    timers.advanceMs(2_000);
    StreamPin pin = last().origins.pin(ID, KEEP_MS, Optional.empty());
    pin.onSent(upstream(OLD));
    timers.advanceMs(ageMs / 2);
    last().cutOff();
    pin.onSent(upstream(NEW));
    pin.onFirstEvent(upstream(NEW));
    timers.advanceMs(ageMs - ageMs / 2);

    assertThat(takeUp(first())).isEmpty();
  }

  // A caller has begun the stream again under the same id, at another version.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void recordsThatContradictEachOtherTellNothing(int count, int ageMs) {
    startFleet(count);
    registered = list(OLD, NEW);
    begin(second(), OLD);
    timers.advanceMs(ageMs);
    begin(last(), NEW);
    timers.advanceMs(100);

    assertThat(takeUp(first())).isEmpty();
  }

  // An upstream that has left the list serves on for an instance that cannot read it.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void versionThatHasLeftTheListLingers(int count, int ageMs) {
    startFleet(count);
    last().cutOff();
    registered = list(NEW);
    timers.advanceMs(ageMs + 10_000);
    begin(last(), OLD);
    timers.advanceMs(KEEP_MS - 1_000);

    assertThat(takeUp(first())).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void streamGoesOnWhenNothingIsLost(int count, int ageMs) {
    startFleet(count);
    registered = list(OLD, NEW);
    timers.advanceMs(ageMs / 2);
    begin(last(), NEW);
    timers.advanceMs(ageMs - ageMs / 2);

    assertThat(takeUp(first())).hasValue(NEW);
  }

  // Where one version has served for long, a stream goes on without a record.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void streamOfTheOnlyVersionNeedsNoRecord(int count, int ageMs) {
    startFleet(count);
    last().losesRecords = true;
    begin(last(), OLD);
    timers.advanceMs(ageMs);
    last().cutOff();

    assertThat(takeUp(first())).hasValue(OLD);
  }

  // Upstreams whose entries have expired in a cut serve on behind it for as long as it lasts.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void versionServesBehindLongCut(int count, int ageMs) {
    startFleet(count);
    last().cutOff();
    registered = list(NEW);
    timers.advanceMs(CALM_MS + ageMs);
    begin(last(), OLD);
    timers.advanceMs(KEEP_MS - 1_000);

    assertThat(takeUp(first())).isEmpty();
  }

  // A plan has shortened the timeout of the route. The stream is from before; this instance runs
  // since before that plan, but was told of no such stream.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void planThatShortensTimeoutDoesNotShortenStreams(int count, int ageMs) {
    startFleet(count);
    last().losesRecords = true;
    StreamPin pin = last().origins.pin(ID, 65_000, Optional.empty());
    pin.onSent(upstream(OLD));
    pin.onFirstEvent(upstream(OLD));
    registered = list(OLD, NEW);
    timers.advanceMs(2_000);
    registered = list(NEW);
    timers.advanceMs(KEEP_MS + 22_000 + ageMs);
    last().cutOff();

    assertThat(takeUp(first())).isEmpty();
  }

  // All instances were killed and have started again, where one version has served for long.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void streamOfTheOnlyVersionGoesOnAfterKillOfAll(int count, int ageMs) {
    startFleet(count);
    begin(last(), OLD);
    timers.advanceMs(ageMs);
    List<InstanceRecord> records = fleet.stream().map(instance -> instance.self).toList();
    fleet.forEach(Instance::cutOff);
    fleet.clear();
    records.forEach(record -> fleet.add(new Instance(record, records)));
    timers.advanceMs(2_000);

    assertThat(takeUp(first())).hasValue(OLD);
  }

  // The store was down for three seconds, for all; then the instance that began the stream died and
  // with it those that had the record.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void streamOfTheOnlyVersionGoesOnAfterOutageOfTheStore(int count, int ageMs) {
    startFleet(count);
    last().losesRecords = true;
    fleet.forEach(instance -> instance.reachesStore = false);
    timers.advanceMs(3_000);
    fleet.forEach(instance -> instance.reachesStore = true);
    timers.advanceMs(18_000);
    begin(last(), OLD);
    timers.advanceMs(ageMs);
    last().cutOff();

    assertThat(takeUp(first())).hasValue(OLD);
  }

  // A caller has begun the stream again under the same id, at another version. The instance where
  // it began first has a record, and others one that contradicts it.
  @ParameterizedTest
  @MethodSource("fleetsAndAges")
  void ownRecordThatOthersContradictTellsNothing(int count, int ageMs) {
    startFleet(count);
    registered = list(OLD, NEW);
    timers.advanceMs(2_000);
    begin(first(), OLD);
    timers.advanceMs(ageMs);
    begin(last(), NEW);
    timers.advanceMs(150);

    assertThat(takeUp(first())).isNotEqualTo(Optional.of(OLD));
  }
}
