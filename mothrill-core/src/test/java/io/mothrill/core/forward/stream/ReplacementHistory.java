package io.mothrill.core.forward.stream;

import io.mothrill.core.fake.FakeTable;
import io.mothrill.core.fake.Fault;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.WallClockStoreClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A seeded history in which the upstreams of one version are replaced by those of another while all
 * instances lose their memory at once; callers take up the streams that break off.
 */
final class ReplacementHistory {

  static final String OLD = "v1";
  static final String NEW = "v1.1";

  private static final String SERVICE = "asistan";
  private static final int UPSTREAMS = 12;
  private static final int DOMAINS = 4;
  private static final long KEEP_MS = 17_000;

  /** Upstreams that have left the list serve on for up to 20 s. */
  private static final long KNOWN_AFTER_MS = KEEP_MS + 21_000;

  private static final int TICK_MS = 10;
  private static final int MAX_PREFILL_MS = 150;
  private static final int MAX_STREAM_MS = 6_000;
  private static final int MAX_HOP_MS = 3;
  private static final double LOST = 0.02;
  private static final int RESTART_MS = 1_500;
  private static final int TRIES = 3;
  private static final int RETRY_MS = 700;

  private final ManualTimers timers = new ManualTimers();
  private final FakeTable table = new FakeTable(timers);
  private final List<Instance> fleet = new ArrayList<>();
  private final SplittableRandom random;
  private int newCount;
  private int oldCount = UPSTREAMS;
  private long streamCount;
  private int takenUp;
  private int goneOn;
  private int joined;

  /** An instance that loses its memory when it is killed. */
  private final class Instance {
    private final InstanceRecord self;
    private final List<InstanceRecord> others;
    private final List<Stream> streams = new ArrayList<>();
    private int processNumber;
    private StreamOrigins origins;
    private boolean isRunning;

    Instance(InstanceRecord self, List<InstanceRecord> all) {
      this.self = self;
      this.others = all.stream().filter(other -> !other.equals(self)).toList();
      start();
    }

    private void start() {
      isRunning = true;
      int process = processNumber;
      PolledUpstreamList upstreams =
          new PolledUpstreamList(
              ReplacementHistory.this::list, () -> process == processNumber, timers);
      WallClockStoreClock storeClock = new WallClockStoreClock(timers);
      ServedVersions served =
          new ServedVersions(upstreams.published(), upstreams, storeClock, timers);
      origins =
          new StreamOrigins(
              self,
              () -> others,
              served,
              (notice, to) -> {
                if (process == processNumber) {
                  to.forEach(peer -> deliver(notice, fleet.get(peer.peerPort())));
                }
              },
              table,
              storeClock,
              timers);
    }

    private void deliver(StreamNotice notice, Instance to) {
      StreamOrigins process = to.origins;
      if (random.nextDouble() >= LOST) {
        timers.after(
            1 + random.nextInt(MAX_HOP_MS),
            () -> {
              if (to.isRunning && to.origins == process) {
                process.onNotice(notice, InstanceRecord.ofAddress(self.host(), self.peerPort()));
              }
            });
      }
    }

    void kill() {
      isRunning = false;
      streams.stream().filter(Stream::hasBegun).forEach(Stream::onBroken);
      streams.clear();
      processNumber++;
      timers.after(RESTART_MS + random.nextInt(300), this::start);
    }
  }

  /** A stream that an upstream of one version answers. */
  private final class Stream {
    private final String id = Long.toHexString(0xabcd0000_00000000L + ++streamCount);
    private final String version;
    private boolean hasBegun;
    private int tries;

    Stream(Instance at, String version) {
      this.version = version;
      at.streams.add(this);
      StreamPin pin = at.origins.pin(id, KEEP_MS, Optional.empty());
      RegisteredUpstream upstream = upstream(0, version);
      pin.onSent(upstream);
      timers.after(
          20 + random.nextInt(MAX_PREFILL_MS),
          () -> {
            if (at.streams.contains(this)) {
              pin.onFirstEvent(upstream);
              hasBegun = true;
            }
          });
      timers.after(
          MAX_PREFILL_MS + 20 + random.nextInt(MAX_STREAM_MS), () -> at.streams.remove(this));
    }

    boolean hasBegun() {
      return hasBegun;
    }

    void onBroken() {
      timers.after(RESTART_MS + random.nextInt(1_500), this::takeUp);
    }

    private void takeUp() {
      if (tries == 0 && isServing(version)) {
        takenUp++;
      }
      List<Instance> running = fleet.stream().filter(instance -> instance.isRunning).toList();
      if (++tries > TRIES) {
        return;
      }
      if (running.isEmpty()) {
        timers.after(RETRY_MS, this::takeUp);
        return;
      }
      running
          .get(random.nextInt(running.size()))
          .origins
          .find(id, SERVICE, KEEP_MS)
          .thenAccept(this::onFound);
    }

    private void onFound(Optional<StreamOrigin> found) {
      if (found.isEmpty()) {
        timers.after(RETRY_MS, this::takeUp);
      } else if (!found.get().version().equals(version)) {
        joined++;
      } else if (isServing(version)) {
        goneOn++;
      }
    }
  }

  ReplacementHistory(int instances, long seed) {
    random = new SplittableRandom(seed);
    List<InstanceRecord> records =
        IntStream.range(0, instances)
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
    advanceMs(KNOWN_AFTER_MS, 0);
  }

  private boolean isServing(String version) {
    return version.equals(OLD) ? oldCount > 0 : newCount > 0;
  }

  private UpstreamList list() {
    return new UpstreamList(
        IntStream.range(0, oldCount + newCount)
            .mapToObj(number -> upstream(number, number < oldCount ? OLD : NEW))
            .toList());
  }

  private static RegisteredUpstream upstream(int number, String version) {
    return new RegisteredUpstream(
        "i-" + number + version,
        SERVICE,
        version,
        "10.0.0.1",
        80 + number,
        "d0",
        6,
        false,
        OptionalLong.empty(),
        RegistrationVersion.UNKNOWN);
  }

  /** Begins streams for a time. */
  void advanceMs(long durationMs, int streamsPerS) {
    for (long atMs = 0; atMs < durationMs; atMs += TICK_MS) {
      timers.advanceMs(TICK_MS);
      if (random.nextInt(1_000) < streamsPerS * TICK_MS) {
        begin();
      }
    }
  }

  private void begin() {
    List<Instance> running = fleet.stream().filter(instance -> instance.isRunning).toList();
    if (!running.isEmpty()) {
      boolean isNew = random.nextInt(oldCount + newCount) >= oldCount;
      new Stream(running.get(random.nextInt(running.size())), isNew ? NEW : OLD);
    }
  }

  /** Replaces some upstreams by those of the new version. */
  void replace(int count) {
    oldCount -= count;
    newCount += count;
  }

  void killAll() {
    fleet.stream().filter(instance -> instance.isRunning).forEach(Instance::kill);
  }

  void setStoreFault(Fault fault, long delayMs) {
    table.faults().setFault(fault);
    table.faults().setDelayMs(delayMs);
  }

  int storedRowCount() {
    return table.scan(OriginTable.TABLE, "", "", Integer.MAX_VALUE).join().size();
  }

  long tableWriteCount() {
    return table.writeCount();
  }

  /** Returns the streams taken up while upstreams of their version served. */
  int takenUp() {
    return takenUp;
  }

  int goneOn() {
    return goneOn;
  }

  /** Returns the streams that went on at another version. */
  int joined() {
    return joined;
  }
}
