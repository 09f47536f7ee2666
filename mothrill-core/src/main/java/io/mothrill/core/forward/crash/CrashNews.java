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
public final class CrashNews {

  /**
   * Time to gather the requests that one crash ended; shorter than a caller takes to come again.
   */
  private static final long GATHER_MS = 2;

  /** Pause between two rounds of messages, so that many crashes at once do not flood anybody. */
  private static final long ROUND_MS = 200;

  /**
   * Most datagrams of one round: 3,000 a second, less than a tenth of a small instance's time. What
   * is left over goes with the next round, requests with the most crashes first.
   */
  private static final int MAX_DATAGRAMS = 600;

  /** Most instances that are told at once; in a larger fleet each round tells the next ones. */
  private static final int MAX_TOLD = 300;

  /** Whoever saw a crash tells all again after these times, as a datagram may get lost. */
  private static final List<Long> TELL_AGAIN_MS = List.of(500L, 1_500L);

  /**
   * How often one other instance is told again: four a second from each, so each hears about four a
   * second whatever the number of instances, 5 KB at the most. One that was cut off hears twelve
   * within three seconds.
   */
  private static final long REPEAT_MS = 250;

  /** A new instance asks so often, each time others. */
  private static final int ASK_ROUNDS = 4;

  private static final int ASKED = 3;
  private static final long ASK_MS = 250;

  /** Answers to a question: some thirty requests, far more than ever crash upstreams at a time. */
  private static final int MAX_ANSWERS = 4;

  /** Single crashes are mostly of bystanders, which are many; they are told once. */
  private static final int REPEATED_CRASHES = 2;

  private final Supplier<List<InstanceRecord>> others;
  private final CrashReports reports;
  private final CrashRecords records;
  private final Consumer<CrashRecord> heard;
  private final Timers timers;
  private final int startOfRing;
  private final Set<Fingerprint> untold = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean gathering = new AtomicBoolean();
  private final AtomicLong sentCount = new AtomicLong();
  private final AtomicLong receivedCount = new AtomicLong();
  private final AtomicInteger roundCount = new AtomicInteger();
  private final AtomicInteger repeatCount = new AtomicInteger();
  private final AtomicInteger askCount = new AtomicInteger();
  private final Subscription asking;

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
  CrashNews(
      Supplier<List<InstanceRecord>> others,
      CrashReports reports,
      CrashRecords records,
      Consumer<CrashRecord> heard,
      Timers timers,
      RandomGenerator random) {
    this.others = others;
    this.reports = reports;
    this.records = records;
    this.heard = heard;
    this.timers = timers;
    this.startOfRing = random.nextInt(Integer.MAX_VALUE);
    timers.every(REPEAT_MS, this::repeat);
    this.asking = timers.every(ASK_MS, this::ask);
  }

  /** Tells all others of a crash that was seen here. */
  void onCrash(Fingerprint fingerprint) {
    tell(fingerprint);
    TELL_AGAIN_MS.forEach(delayMs -> timers.after(delayMs, () -> tellAgain(fingerprint)));
  }

  private void tellAgain(Fingerprint fingerprint) {
    records
        .find(fingerprint)
        .filter(worthRepeating(timers.nowMs()))
        .ifPresent(record -> tell(fingerprint));
  }

  /** Tells all others what is now known of a request. */
  void tell(Fingerprint fingerprint) {
    untold.add(fingerprint);
    if (gathering.compareAndSet(false, true)) {
      timers.after(GATHER_MS, this::sendRound);
    }
  }

  private void sendRound() {
    int first = startOfRing + roundCount.getAndIncrement() * MAX_TOLD;
    List<InstanceRecord> told = othersFrom(first, MAX_TOLD);
    int messages = Math.max(1, MAX_DATAGRAMS / Math.max(1, told.size()));
    long nowMs = timers.nowMs();
    List<CrashRecord> most =
        untold.stream()
            .flatMap(fingerprint -> records.find(fingerprint).stream())
            .sorted(
                Comparator.comparingInt((CrashRecord record) -> record.countAt(nowMs)).reversed())
            .limit((long) messages * CrashMessage.MAX_ENTRIES)
            .toList();
    most.forEach(record -> untold.remove(record.fingerprint()));
    untold.removeIf(fingerprint -> records.find(fingerprint).isEmpty());
    send(most, told);
    if (untold.isEmpty()) {
      gathering.set(false);
      if (!untold.isEmpty() && gathering.compareAndSet(false, true)) {
        timers.after(ROUND_MS, this::sendRound);
      }
    } else {
      timers.after(ROUND_MS, this::sendRound);
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
    reports.send(message, to);
  }

  private void repeat() {
    long nowMs = timers.nowMs();
    records.forgetOver(nowMs);
    if (records.isEmpty()) {
      return;
    }
    List<CrashRecord> known = records.list(worthRepeating(nowMs), Integer.MAX_VALUE);
    if (known.isEmpty()) {
      return;
    }
    int turn = repeatCount.getAndIncrement();
    List<CrashRecord> part = new ArrayList<>();
    IntStream.range(0, Math.min(CrashMessage.MAX_ENTRIES, known.size()))
        .map(place -> (turn * CrashMessage.MAX_ENTRIES + place) % known.size())
        .mapToObj(known::get)
        .forEach(part::add);
    send(part, othersFrom(startOfRing + turn, 1));
  }

  private static Predicate<CrashRecord> worthRepeating(long nowMs) {
    return record -> record.countAt(nowMs) >= REPEATED_CRASHES;
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
  private void ask() {
    if (others.get().isEmpty()) {
      return;
    }
    int round = askCount.getAndIncrement();
    if (round >= ASK_ROUNDS) {
      asking.cancel();
      return;
    }
    send(new CrashMessage(List.of(), true), othersFrom(startOfRing + round * ASKED, ASKED));
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
    told.forEach(heard);
    correct(told, sender);
    if (message.asks()) {
      int limit = MAX_ANSWERS * CrashMessage.MAX_ENTRIES;
      send(records.list(worthRepeating(nowMs), limit), List.of(sender));
    }
  }

  /** Tells one that still refuses a request of a good run that it has missed. */
  private void correct(List<CrashRecord> told, InstanceRecord sender) {
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
