package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Keeps requests that end upstreams away from them.
 *
 * <pre>{@code
 * guard.onBroken(fingerprint, upstream);
 * guard.settled(fingerprint, 3).thenRun(() -> decide(guard.countOf(fingerprint)));
 * }</pre>
 *
 * <p>Failure: a request ends each upstream that begins to run it, and comes again, at any instance.
 * Symptom: upstreams end one after the other in a calm fleet, and with each of them the answers of
 * all who share it. A crash is kept under the request's fingerprint for minutes and told to all
 * instances; after three no upstream gets it. It is no matter of one request's retries: each repeat
 * is a request of its own, so only what is kept beyond requests can stop it.
 *
 * <p>Those who merely share an upstream with it are not refused: each of them would have to lose
 * three upstreams without one run that ends well between. A closed connection counts only once its
 * upstream is found to have ended.
 */
public final class CrashGuard {

  /**
   * Longest wait of a request for what is being found out. An upstream in reach shows its end
   * within a round trip; one that is cut off shows nothing for seconds, and a request that waited
   * for that would miss its own time.
   */
  private static final long MAX_PROBE_WAIT_MS = 100;

  private final InstanceRecord self;
  private final TerminationProbe terminationProbe;
  private final Predicate<RegisteredUpstream> isServing;
  private final CrashRecords records = new CrashRecords();
  private final CrashGossip gossip;
  private final QuarantineTable table;
  private final Timers timers;
  private final Map<Fingerprint, List<CompletableFuture<Void>>> pendingProbes =
      new ConcurrentHashMap<>();

  /**
   * Creates the guard.
   *
   * @param self this instance
   * @param others the other instances that are there
   * @param reports sends messages to them
   * @param rows keeps what is refused for processes that start
   * @param storeClock the clock of its store
   * @param ends finds out whether an upstream has ended
   * @param serving says of an upstream whether it is registered and not leaving
   * @param timers the time
   * @param random lets instances tell each other in different orders
   */
  public CrashGuard(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      CrashMessageSender reports,
      TableService rows,
      StoreClock storeClock,
      TerminationProbe ends,
      Predicate<RegisteredUpstream> serving,
      Timers timers,
      RandomGenerator random) {
    this.self = self;
    this.terminationProbe = ends;
    this.isServing = serving;
    this.timers = timers;
    this.gossip = new CrashGossip(others, reports, records, this::add, timers, random);
    this.table = new QuarantineTable(rows, storeClock, records, this::add, timers);
  }

  /**
   * Says whether no request is under suspicion, so that none needs a fingerprint.
   *
   * @return true on a calm day
   */
  public boolean isIdle() {
    return records.isEmpty() && pendingProbes.isEmpty();
  }

  /**
   * Finds the record of a request.
   *
   * @param fingerprint the request
   * @return what is known of it
   */
  public Optional<CrashRecord> find(Fingerprint fingerprint) {
    return records.find(fingerprint);
  }

  /**
   * Counts the upstreams that are known to have ended under a request.
   *
   * @param fingerprint the request
   * @return a count
   */
  public int crashCount(Fingerprint fingerprint) {
    return find(fingerprint).map(record -> record.countAt(timers.nowMs())).orElse(0);
  }

  /**
   * Waits until it is known whether so many upstreams have ended under a request.
   *
   * <p>Its repeat may come before it is known whether the last one has ended. It waits for that
   * only if the answer decides about it, which takes milliseconds where the upstream is in reach.
   *
   * @param fingerprint the request
   * @param limit the count that decides
   * @return completes when the count is below the limit for certain, or once it may be used
   */
  public CompletableFuture<Void> awaitProbes(Fingerprint fingerprint, int limit) {
    List<CompletableFuture<Void>> open = pendingProbes.getOrDefault(fingerprint, List.of());
    boolean decided = open.isEmpty() || crashCount(fingerprint) + open.size() < limit;
    if (decided) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> settled = new CompletableFuture<>();
    CompletableFuture.allOf(open.toArray(CompletableFuture[]::new))
        .thenRun(() -> settled.complete(null));
    timers.after(MAX_PROBE_WAIT_MS, () -> settled.complete(null));
    return settled;
  }

  /**
   * Notes that the connection to an upstream was closed or reset under a request.
   *
   * <p>An upstream that leaves cuts off what it cannot finish, and one that is not in the list any
   * more may be doing that: neither has crashed.
   *
   * @param fingerprint the request
   * @param upstream the upstream that had it
   */
  public void onConnectionLost(Fingerprint fingerprint, RegisteredUpstream upstream) {
    if (!isServing.test(upstream)) {
      return;
    }
    long brokenMs = timers.nowMs();
    CompletableFuture<Void> look = new CompletableFuture<>();
    pendingProbes.merge(
        fingerprint,
        List.of(look),
        (before, added) -> Stream.concat(before.stream(), added.stream()).toList());
    terminationProbe
        .hasTerminated(upstream)
        .exceptionally(error -> false)
        .thenAccept(
            ended -> {
              if (ended) {
                onCrash(fingerprint, upstream, brokenMs);
              }
              pendingProbes.computeIfPresent(fingerprint, (key, open) -> without(open, look));
              look.complete(null);
            });
  }

  private static List<CompletableFuture<Void>> without(
      List<CompletableFuture<Void>> open, CompletableFuture<Void> look) {
    List<CompletableFuture<Void>> left = open.stream().filter(other -> other != look).toList();
    return left.isEmpty() ? null : left;
  }

  /**
   * Notes that an upstream has ended under a request.
   *
   * @param fingerprint the request
   * @param upstream the upstream that had it
   * @param atMs when
   */
  public void onCrash(Fingerprint fingerprint, RegisteredUpstream upstream, long atMs) {
    Crash crash = new Crash(upstream.incarnation(), self.id(), atMs);
    add(CrashRecord.of(fingerprint).with(crash));
    Logger.info(
        "upstream ended under request fingerprint={} upstream={} count={} agoMs={}",
        fingerprint,
        upstream.incarnation(),
        crashCount(fingerprint),
        timers.nowMs() - atMs);
    gossip.onCrash(fingerprint);
  }

  /** Adds what this instance or another one knows. */
  private void add(CrashRecord more) {
    long nowMs = timers.nowMs();
    boolean before = isQuarantined(more.fingerprint(), nowMs);
    CrashRecord record = records.add(more, nowMs);
    if (!before && record.isQuarantined(nowMs)) {
      Logger.warn(
          "request refused from now on fingerprint={} retryAfterMs={} crashes={}",
          record.fingerprint(),
          record.retryAfterMs(nowMs),
          record.describe(nowMs));
      saveIfReportedBySelf(record);
    } else if (before && !record.isQuarantined(nowMs)) {
      Logger.info("request served again fingerprint={}", record.fingerprint());
    }
  }

  /** Writes a row at the few instances that saw a crash themselves, so that others need not. */
  private void saveIfReportedBySelf(CrashRecord record) {
    if (record.crashes().stream().anyMatch(crash -> crash.reporter().equals(self.id()))) {
      table.save(record.fingerprint());
    }
  }

  private boolean isQuarantined(Fingerprint fingerprint, long nowMs) {
    return find(fingerprint).filter(record -> record.isQuarantined(nowMs)).isPresent();
  }

  /**
   * Notes that a run of a request has ended well: it was a bystander.
   *
   * @param fingerprint the request
   */
  public void onSuccess(Fingerprint fingerprint) {
    find(fingerprint)
        .filter(record -> !record.crashes().isEmpty())
        .ifPresent(
            record -> {
              add(record.cleared(timers.nowMs()));
              gossip.broadcast(fingerprint);
              if (record.isQuarantined(timers.nowMs())) {
                table.save(fingerprint);
              }
            });
  }

  /**
   * Takes a message of another instance.
   *
   * @param message what it tells or asks
   * @param sender where an answer goes
   */
  public void onMessage(CrashMessage message, InstanceRecord sender) {
    gossip.onMessage(message, sender);
  }

  /**
   * Gives the counts that metrics show.
   *
   * @return the counts now
   */
  public CrashCounts counts() {
    long nowMs = timers.nowMs();
    return new CrashCounts(
        records.count(record -> record.countAt(nowMs) > 0 && !record.isQuarantined(nowMs)),
        records.count(record -> record.isQuarantined(nowMs)),
        gossip.sentCount(),
        gossip.receivedCount(),
        records.droppedCount());
  }
}
