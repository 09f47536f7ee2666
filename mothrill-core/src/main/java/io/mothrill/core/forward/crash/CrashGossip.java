package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Lets all instances know the same of requests under which upstreams crash.
 *
 * <p>Failure: each instance counts only the crashes that it saw itself, and the request comes to
 * another one each time. Symptom: every instance loses three upstreams to it, a fleet of a hundred
 * loses hundreds. A crash is therefore told to all others at once. Messages may get lost, and
 * instances may have been cut off or have just started, so what is known of requests with two
 * crashes or more is told again, to one instance after the other, and a new instance asks. On a
 * calm day nothing is known and nothing is sent.
 */
public final class CrashGossip {

  /**
   * Time to gather the requests that one crash ended; shorter than a caller takes to come again.
   */
  private static final long BATCH_DELAY_MS = 2;

  /** Pause between two rounds of messages, so that many crashes at once do not flood anybody. */
  private static final long ROUND_INTERVAL_MS = 200;

  /**
   * Most datagrams of one round: 3,000 a second, less than a tenth of a small instance's time. What
   * is left over goes with the next round, requests with the most crashes first.
   */
  private static final int MAX_DATAGRAMS_PER_ROUND = 600;

  /** Most instances that are told at once; in a larger fleet each round tells the next ones. */
  private static final int MAX_RECIPIENTS = 300;

  /** Whoever saw a crash tells all again after these times, as a datagram may get lost. */
  private static final List<Long> RESEND_DELAYS_MS = List.of(500L, 1_500L);

  /**
   * How often one other instance is told again: four a second from each, so each hears about four a
   * second whatever the number of instances, 5 KB at the most. One that was cut off hears twelve
   * within three seconds.
   */
  private static final long REPEAT_INTERVAL_MS = 250;

  /** A new instance asks so often, each time others. */
  private static final int SYNC_ROUNDS = 4;

  private static final int SYNC_PEERS = 3;
  private static final long SYNC_INTERVAL_MS = 250;

  /** Answers to a question: some thirty requests, far more than ever crash upstreams at a time. */
  private static final int MAX_SYNC_REPLIES = 4;

  /** Single crashes are mostly of bystanders, which are many; they are told once. */
  private static final int MIN_REPEATED_CRASHES = 2;

  private final Supplier<List<InstanceRecord>> others;
  private final CrashMessageSender sender;
  private final CrashRecords records;
  private final Consumer<CrashRecord> onReceived;
  private final Timers timers;
  private final int ringOffset;
  private final Set<Fingerprint> unsent = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean roundScheduled = new AtomicBoolean();
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong receivedCount = new AtomicLong();
  private final AtomicInteger roundCount = new AtomicInteger();
  private final AtomicInteger repeatCount = new AtomicInteger();
  private final AtomicInteger syncCount = new AtomicInteger();
  private final Subscription syncTimer;

  /**
   * Begins to tell others, and asks them for what they know.
   *
   * @param others the instances that are there
   * @param reports sends messages
   * @param records what is known
   * @param heard gets what others say
   * @param timers the time
   * @param random lets each instance begin with others, so that all are told about as often
   */
  CrashGossip(
      Supplier<List<InstanceRecord>> others,
      CrashMessageSender reports,
      CrashRecords records,
      Consumer<CrashRecord> heard,
      Timers timers,
      RandomGenerator random) {
    this.others = others;
    this.sender = reports;
    this.records = records;
    this.onReceived = heard;
    this.timers = timers;
    this.ringOffset = random.nextInt(Integer.MAX_VALUE);
    timers.every(REPEAT_INTERVAL_MS, this::repeatKnown);
    this.syncTimer = timers.every(SYNC_INTERVAL_MS, this::requestSync);
  }

  /** Tells all others of a crash that was seen here. */
  void onCrash(Fingerprint fingerprint) {
    broadcast(fingerprint);
    RESEND_DELAYS_MS.forEach(delayMs -> timers.after(delayMs, () -> rebroadcast(fingerprint)));
  }

  private void rebroadcast(Fingerprint fingerprint) {
    records
        .find(fingerprint)
        .filter(isRepeated(timers.nowMs()))
        .ifPresent(record -> broadcast(fingerprint));
  }

  /** Tells all others what is now known of a request. */
  void broadcast(Fingerprint fingerprint) {
    unsent.add(fingerprint);
    if (roundScheduled.compareAndSet(false, true)) {
      timers.after(BATCH_DELAY_MS, this::sendRound);
    }
  }

  private void sendRound() {
    int first = ringOffset + roundCount.getAndIncrement() * MAX_RECIPIENTS;
    List<InstanceRecord> told = othersFrom(first, MAX_RECIPIENTS);
    int messages = Math.max(1, MAX_DATAGRAMS_PER_ROUND / Math.max(1, told.size()));
    long nowMs = timers.nowMs();
    List<CrashRecord> most =
        unsent.stream()
            .flatMap(fingerprint -> records.find(fingerprint).stream())
            .sorted(
                Comparator.comparingInt((CrashRecord record) -> record.countAt(nowMs)).reversed())
            .limit((long) messages * CrashMessage.MAX_ENTRIES)
            .toList();
    most.forEach(record -> unsent.remove(record.fingerprint()));
    unsent.removeIf(fingerprint -> records.find(fingerprint).isEmpty());
    send(most, told);
    if (unsent.isEmpty()) {
      roundScheduled.set(false);
      if (!unsent.isEmpty() && roundScheduled.compareAndSet(false, true)) {
        timers.after(ROUND_INTERVAL_MS, this::sendRound);
      }
    } else {
      timers.after(ROUND_INTERVAL_MS, this::sendRound);
    }
  }

  private void send(List<CrashRecord> known, List<InstanceRecord> to) {
    long nowMs = timers.nowMs();
    for (int first = 0; first < known.size(); first += CrashMessage.MAX_ENTRIES) {
      List<CrashRecord> part =
          known.subList(first, Math.min(known.size(), first + CrashMessage.MAX_ENTRIES));
      send(
          new CrashMessage(
              part.stream().map(record -> CrashMessage.Entry.of(record, nowMs)).toList(), false),
          to);
    }
  }

  private void send(CrashMessage message, List<InstanceRecord> to) {
    sentCount.addAndGet(to.size());
    sender.send(message, to);
  }

  private void repeatKnown() {
    long nowMs = timers.nowMs();
    records.removeExpired(nowMs);
    if (records.isEmpty()) {
      return;
    }
    List<CrashRecord> known = records.list(isRepeated(nowMs), Integer.MAX_VALUE);
    if (known.isEmpty()) {
      return;
    }
    int turn = repeatCount.getAndIncrement();
    List<CrashRecord> part = new ArrayList<>();
    IntStream.range(0, Math.min(CrashMessage.MAX_ENTRIES, known.size()))
        .map(place -> (turn * CrashMessage.MAX_ENTRIES + place) % known.size())
        .mapToObj(known::get)
        .forEach(part::add);
    send(part, othersFrom(ringOffset + turn, 1));
  }

  private static Predicate<CrashRecord> isRepeated(long nowMs) {
    return record -> record.countAt(nowMs) >= MIN_REPEATED_CRASHES;
  }

  private List<InstanceRecord> othersFrom(int start, int limit) {
    List<InstanceRecord> all = others.get();
    return IntStream.range(0, Math.min(limit, all.size()))
        .mapToObj(place -> all.get(Math.floorMod(start + place, all.size())))
        .toList();
  }

  /**
   * Asks other instances.
   *
   * <p>Failure: an instance was replaced while a request was refused everywhere else. Symptom: the
   * repeats that come to it crash upstreams again. It asks as soon as it knows the others.
   */
  private void requestSync() {
    if (others.get().isEmpty()) {
      return;
    }
    int round = syncCount.getAndIncrement();
    if (round >= SYNC_ROUNDS) {
      syncTimer.cancel();
      return;
    }
    send(
        new CrashMessage(List.of(), true), othersFrom(ringOffset + round * SYNC_PEERS, SYNC_PEERS));
  }

  /**
   * Takes a message.
   *
   * @param message what another instance tells or asks
   * @param sender where an answer goes
   */
  public void onMessage(CrashMessage message, InstanceRecord sender) {
    long nowMs = timers.nowMs();
    receivedCount.incrementAndGet();
    List<CrashRecord> told =
        message.entries().stream().map(entry -> entry.toRecord(nowMs)).toList();
    told.forEach(onReceived);
    sendCorrections(told, sender);
    if (message.requestsReply()) {
      int limit = MAX_SYNC_REPLIES * CrashMessage.MAX_ENTRIES;
      send(records.list(isRepeated(nowMs), limit), List.of(sender));
    }
  }

  /** Tells one that still refuses a request of a good run that it has missed. */
  private void sendCorrections(List<CrashRecord> told, InstanceRecord sender) {
    List<CrashRecord> better =
        told.stream()
            .filter(record -> !record.crashes().isEmpty())
            .flatMap(record -> records.find(record.fingerprint()).stream())
            .filter(known -> known.crashes().isEmpty())
            .toList();
    send(better, List.of(sender));
  }

  long sentCount() {
    return sentCount.get();
  }

  long receivedCount() {
    return receivedCount.get();
  }
}
