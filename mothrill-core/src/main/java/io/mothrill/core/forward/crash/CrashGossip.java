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
 * Distributes crash records, so that all instances know the same requests under which upstreams
 * crash.
 *
 * <p>If each instance counted only the crashes it detected itself, a request that arrives at a
 * different instance each time would crash three upstreams per instance, hundreds in a fleet of a
 * hundred instances. A crash is therefore broadcast to all instances at once. Messages may be lost,
 * and instances may have been partitioned or have just started, so records with two or more crashes
 * are repeated to one instance after the other, and a new instance requests them. Without crashes
 * nothing is known and nothing is sent.
 */
public final class CrashGossip {

  /** Time to batch the requests affected by one crash; shorter than a caller takes to retry. */
  private static final long BATCH_DELAY_MS = 2;

  /**
   * Interval between two rounds of messages, so that many crashes at once do not flood the
   * instances.
   */
  private static final long ROUND_INTERVAL_MS = 200;

  /**
   * Maximum number of datagrams per round. This is 3,000 per second, less than a tenth of a small
   * instance's time. The remaining records follow in the next round, those with the most crashes
   * first.
   */
  private static final int MAX_DATAGRAMS_PER_ROUND = 600;

  /** Maximum number of recipients per round; in a larger fleet each round goes to the next ones. */
  private static final int MAX_RECIPIENTS = 300;

  /**
   * An instance that detected a crash broadcasts it again after these delays, as datagrams may be
   * lost.
   */
  private static final List<Long> RESEND_DELAYS_MS = List.of(500L, 1_500L);

  /**
   * Interval between repeats, each to one other instance. Each instance sends four per second and
   * so receives about four per second whatever the number of instances, 5 KB at most. An instance
   * that was partitioned receives twelve within three seconds.
   */
  private static final long REPEAT_INTERVAL_MS = 250;

  /** Number of times that a new instance requests records, each time from other instances. */
  private static final int SYNC_ROUNDS = 4;

  private static final int SYNC_PEERS = 3;
  private static final long SYNC_INTERVAL_MS = 250;

  /**
   * Maximum number of messages in a reply to a sync request. They hold about thirty requests, far
   * more than ever crash upstreams at the same time.
   */
  private static final int MAX_SYNC_REPLIES = 4;

  /**
   * Single crashes mostly concern unrelated requests, which are many, so they are sent only once.
   */
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
   * Starts the gossip and requests the records of other instances.
   *
   * @param others the other running instances
   * @param sender sends messages
   * @param records the records of this instance
   * @param onReceived called with each record received
   * @param timers the clock
   * @param random varies the first recipients between instances, so that all receive repeats about
   *     equally often
   */
  CrashGossip(
      Supplier<List<InstanceRecord>> others,
      CrashMessageSender sender,
      CrashRecords records,
      Consumer<CrashRecord> onReceived,
      Timers timers,
      RandomGenerator random) {
    this.others = others;
    this.sender = sender;
    this.records = records;
    this.onReceived = onReceived;
    this.timers = timers;
    this.ringOffset = random.nextInt(Integer.MAX_VALUE);
    timers.every(REPEAT_INTERVAL_MS, this::repeatKnown);
    this.syncTimer = timers.every(SYNC_INTERVAL_MS, this::requestSync);
  }

  /** Broadcasts a crash that this instance detected. */
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

  /** Broadcasts the current record of a request to all other instances. */
  void broadcast(Fingerprint fingerprint) {
    unsent.add(fingerprint);
    if (roundScheduled.compareAndSet(false, true)) {
      timers.after(BATCH_DELAY_MS, this::sendRound);
    }
  }

  private void sendRound() {
    int first = ringOffset + roundCount.getAndIncrement() * MAX_RECIPIENTS;
    List<InstanceRecord> recipients = othersFrom(first, MAX_RECIPIENTS);
    int messages = Math.max(1, MAX_DATAGRAMS_PER_ROUND / Math.max(1, recipients.size()));
    long nowMs = timers.nowMs();
    List<CrashRecord> batch =
        unsent.stream()
            .flatMap(fingerprint -> records.find(fingerprint).stream())
            .sorted(
                Comparator.comparingInt((CrashRecord record) -> record.countAt(nowMs)).reversed())
            .limit((long) messages * CrashMessage.MAX_ENTRIES)
            .toList();
    batch.forEach(record -> unsent.remove(record.fingerprint()));
    unsent.removeIf(fingerprint -> records.find(fingerprint).isEmpty());
    send(batch, recipients);
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
    int round = repeatCount.getAndIncrement();
    List<CrashRecord> part = new ArrayList<>();
    IntStream.range(0, Math.min(CrashMessage.MAX_ENTRIES, known.size()))
        .map(index -> (round * CrashMessage.MAX_ENTRIES + index) % known.size())
        .mapToObj(known::get)
        .forEach(part::add);
    send(part, othersFrom(ringOffset + round, 1));
  }

  private static Predicate<CrashRecord> isRepeated(long nowMs) {
    return record -> record.countAt(nowMs) >= MIN_REPEATED_CRASHES;
  }

  private List<InstanceRecord> othersFrom(int start, int limit) {
    List<InstanceRecord> all = others.get();
    return IntStream.range(0, Math.min(limit, all.size()))
        .mapToObj(index -> all.get(Math.floorMod(start + index, all.size())))
        .toList();
  }

  /**
   * Requests the records of other instances.
   *
   * <p>An instance that was replaced while a request was quarantined knows no records, so retries
   * of the request that arrive there would crash upstreams again. It sends the request as soon as
   * it knows the other instances.
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
   * Called when a message arrives.
   *
   * @param message the records or the sync request of another instance
   * @param sender the recipient of a reply
   */
  public void onMessage(CrashMessage message, InstanceRecord sender) {
    long nowMs = timers.nowMs();
    receivedCount.incrementAndGet();
    List<CrashRecord> received =
        message.entries().stream().map(entry -> entry.toRecord(nowMs)).toList();
    received.forEach(onReceived);
    sendCorrections(received, sender);
    if (message.requestsReply()) {
      int limit = MAX_SYNC_REPLIES * CrashMessage.MAX_ENTRIES;
      send(records.list(isRepeated(nowMs), limit), List.of(sender));
    }
  }

  /** Notifies a sender that still counts crashes of a successful run that it has missed. */
  private void sendCorrections(List<CrashRecord> received, InstanceRecord sender) {
    List<CrashRecord> corrections =
        received.stream()
            .filter(record -> !record.crashes().isEmpty())
            .flatMap(record -> records.find(record.fingerprint()).stream())
            .filter(known -> known.crashes().isEmpty())
            .toList();
    send(corrections, List.of(sender));
  }

  long sentCount() {
    return sentCount.get();
  }

  long receivedCount() {
    return receivedCount.get();
  }
}
