package io.mothrill.core.forward.lease;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.fake.ManualTimers;
import io.mothrill.core.forward.permit.FleetView;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;

/**
 * A seeded history of instances that send as much as leases allow to an upstream that turns away
 * what it cannot run, while instances end, start, and lose their connections to all others.
 */
final class LeaseHistory {

  private static final int SLOTS = 6;
  private static final int STEP_MS = 5;
  private static final int SECOND_MS = 1_000;
  private static final int DEADLINE_MS = 1_500;
  private static final int MAX_SERVICE_MS = 400;
  private static final int ROWS_READ_PER_S = 6;
  private static final int READ_GRACE_MS = 2_500;
  private static final int MAX_RENEWAL_GAP_MS = 8_000;
  private static final int RENEWAL_INTERVAL_MS = 1_000;
  private static final int EXPIRY_MS = 12_000;
  private static final int MAX_DELAY_MS = 1_000;
  private static final double LATE_MESSAGES = 0.05;
  private static final double LOST_MESSAGES = 0.05;

  private static final RegisteredUpstream UPSTREAM =
      new RegisteredUpstream(
          "i-1",
          "sira",
          "10.0.0.1",
          80,
          "konya",
          SLOTS,
          false,
          OptionalLong.of(0),
          new RegistrationVersion(1, 1));

  private final ManualTimers timers = new ManualTimers();
  private final PublishedValue<UpstreamList> list =
      new PublishedValue<>(new UpstreamList(List.of(UPSTREAM)));
  private final Random random;
  private final int maxPerS;
  private final double triesPerStep;
  private final List<Member> members = new ArrayList<>();
  private final List<Long> rejectedMs = new ArrayList<>();
  private int running;
  private int startedCount;
  private int falls;
  private int servedCount;

  LeaseHistory(int instances, int maxPerS, int triesPerS, long seed) {
    this.random = new Random(seed);
    this.maxPerS = maxPerS;
    this.triesPerStep = triesPerS * STEP_MS / (double) SECOND_MS;
    for (int number = 0; number < instances; number++) {
      members.add(new Member());
    }
    members.forEach(member -> member.registeredMs = -SECOND_MS * SECOND_MS);
    members.forEach(Member::read);
  }

  int falls() {
    return falls;
  }

  int servedCount() {
    return servedCount;
  }

  /** Plays the history with one disturbance in each interval. */
  void play(int durationMs, int disturbanceIntervalMs) {
    for (int atMs = 0; atMs < durationMs; atMs += STEP_MS) {
      timers.advanceMs(STEP_MS);
      if (atMs > 0 && atMs % disturbanceIntervalMs == 0) {
        disturb();
      }
      for (double tries = triesPerStep; random.nextDouble() < tries; tries--) {
        members.get(random.nextInt(members.size())).call();
      }
    }
  }

  private void disturb() {
    Member member = members.get(random.nextInt(members.size()));
    switch (random.nextInt(3)) {
      case 0 -> {
        member.ended = true;
        members.set(members.indexOf(member), new Member());
      }
      case 1 -> {
        member.partitioned = true;
        timers.after(random.nextInt(2 * EXPIRY_MS), () -> member.partitioned = false);
      }
      default -> members.add(new Member());
    }
  }

  private void deliver(Member from, Member to, Runnable message) {
    boolean isCut = from.partitioned || to.partitioned || from.ended;
    if (!isCut && random.nextDouble() >= LOST_MESSAGES) {
      boolean isLate = random.nextDouble() < LATE_MESSAGES;
      timers.after(
          1 + (isLate ? random.nextInt(MAX_DELAY_MS) : 0),
          () -> {
            if (!to.ended) {
              message.run();
            }
          });
    }
  }

  private void onRejected() {
    long nowMs = timers.nowMs();
    rejectedMs.removeIf(atMs -> nowMs - atMs >= SECOND_MS);
    rejectedMs.add(nowMs);
    if (rejectedMs.size() > maxPerS) {
      falls++;
      rejectedMs.clear();
    }
  }

  /** An instance with its view of the others; it reaches the upstream at all times. */
  private final class Member implements FleetView {
    private final InstanceRecord self;
    private final UpstreamLeases leases;
    private long registeredMs = timers.nowMs();
    private long renewedMs = timers.nowMs();
    private long readMs = Long.MIN_VALUE / 2;
    private List<InstanceRecord> others = List.of();
    private boolean partitioned;
    private boolean ended;

    private Member() {
      String id = "e" + startedCount++;
      this.self =
          new InstanceRecord(id, id, startedCount % 3 == 0 ? "konya" : "izmir", id, 1, false);
      this.leases = new UpstreamLeases(self, this, list, this::send, timers, random);
      timers.every(RENEWAL_INTERVAL_MS, this::renew);
      timers.after(random.nextInt(readIntervalMs()), this::readAndRepeat);
    }

    private int readIntervalMs() {
      return Math.max(SECOND_MS, members.size() * SECOND_MS / ROWS_READ_PER_S);
    }

    private void renew() {
      if (!partitioned && !ended) {
        if (registrationAgeMs() > MAX_RENEWAL_GAP_MS) {
          registeredMs = timers.nowMs();
        }
        renewedMs = timers.nowMs();
      }
    }

    private void readAndRepeat() {
      if (!ended) {
        read();
        timers.after(readIntervalMs(), this::readAndRepeat);
      }
    }

    private void read() {
      if (!partitioned) {
        readMs = timers.nowMs();
        others =
            members.stream()
                .filter(other -> other != this && readMs - other.renewedMs < EXPIRY_MS)
                .map(other -> other.self)
                .toList();
      }
    }

    @Override
    public List<InstanceRecord> others() {
      return others;
    }

    @Override
    public boolean isCurrent() {
      long nowMs = timers.nowMs();
      long dueMs = readIntervalMs() + READ_GRACE_MS;
      return nowMs - readMs <= dueMs && nowMs - registeredMs >= dueMs;
    }

    @Override
    public long registrationAgeMs() {
      return timers.nowMs() - renewedMs;
    }

    private void send(LeaseMessage message, InstanceRecord to) {
      members.stream()
          .filter(member -> member.self.host().equals(to.host()))
          .findFirst()
          .ifPresent(
              member ->
                  deliver(
                      this,
                      member,
                      () ->
                          member.leases.onMessage(
                              message, InstanceRecord.ofAddress(self.host(), self.peerPort()))));
    }

    private void call() {
      if (!leases.isClosed(UPSTREAM)) {
        leases
            .acquire(UPSTREAM, maxPerS, DEADLINE_MS)
            .thenAccept(lease -> lease.ifPresent(this::run));
      }
    }

    private void run(SendLease lease) {
      if (ended) {
        return;
      }
      if (running >= SLOTS) {
        onRejected();
        lease.onAnswer(OptionalInt.of(running), false, true);
        return;
      }
      running++;
      timers.after(
          1 + random.nextInt(MAX_SERVICE_MS),
          () -> {
            running--;
            servedCount++;
            if (!ended) {
              lease.onAnswer(OptionalInt.of(running), false, false);
              lease.end();
            }
          });
    }
  }
}
