package io.mothrill.core.forward.crash;

import io.mothrill.core.forward.request.Fingerprint;
import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.platform.InstanceRecord;
import io.mothrill.core.platform.StoreClock;
import io.mothrill.core.platform.TableService;
import io.mothrill.core.time.Timers;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.tinylog.Logger;

/**
 * Keeps requests that crash upstreams from being sent to more upstreams.
 *
 * <pre>{@code
 * guard.onConnectionLost(List.of(fingerprint), upstream);
 * guard.awaitProbes(fingerprint, 3).thenRun(() -> decide(guard.crashCount(fingerprint)));
 * }</pre>
 *
 * <p>A request that crashes each upstream that runs it, and that callers repeat at any instance,
 * would take down one upstream after the other, and with each of them all other requests it is
 * running. Crashes are therefore kept under the request's fingerprint for minutes and broadcast to
 * all instances; after three crashes no upstream gets the request. Limiting the retries of a single
 * request would not help: each repeat is a request of its own, so only state that outlives requests
 * can stop it.
 *
 * <p>A part of a prompt that crashes each upstream that begins to answer it is kept like a request
 * under a fingerprint of its own, since no two requests with it may be alike. Requests that share
 * other parts with it are sound, and the first answer that begins to any of them shows it. Where
 * several were in the same crashed runs, {@link Suspects} tells them apart.
 *
 * <p>Requests that merely share an upstream with it are not refused: each of them would have to
 * lose three upstreams without a successful run in between. A closed connection counts only once
 * its upstream is found to have terminated.
 */
public final class CrashGuard {

  private final InstanceRecord self;
  private final TerminationProbe terminationProbe;
  private final Predicate<RegisteredUpstream> isServing;
  private final CrashRecords records = new CrashRecords();
  private final CrashGossip gossip;
  private final QuarantineTable table;
  private final TrialQueue trials;
  private final Timers timers;
  private final PendingProbes probes;
  private volatile Suspects suspects = Suspects.NONE;

  /**
   * Creates the guard.
   *
   * @param self this instance
   * @param others the other running instances
   * @param sender sends messages to them
   * @param rows stores quarantined requests for processes that start later
   * @param storeClock the clock of the store
   * @param terminationProbe probes whether an upstream has terminated
   * @param isServing checks whether an upstream is registered and not leaving
   * @param timers the clock
   * @param random varies the order in which instances notify each other
   */
  public CrashGuard(
      InstanceRecord self,
      Supplier<List<InstanceRecord>> others,
      CrashMessageSender sender,
      TableService rows,
      StoreClock storeClock,
      TerminationProbe terminationProbe,
      Predicate<RegisteredUpstream> isServing,
      Timers timers,
      RandomGenerator random) {
    this.self = self;
    this.terminationProbe = terminationProbe;
    this.isServing = isServing;
    this.timers = timers;
    this.probes = new PendingProbes(terminationProbe::refusesConnections, timers);
    this.gossip = new CrashGossip(others, sender, records, this::add, timers, random);
    this.table = new QuarantineTable(rows, storeClock, records, this::add, timers);
    this.trials = new TrialQueue(new TrialTable(self.id(), rows, storeClock), timers);
  }

  /**
   * Checks whether no crash is known or being probed, so that no request needs a fingerprint.
   *
   * @return true if there is nothing to check requests against
   */
  public boolean isIdle() {
    return records.isEmpty() && probes.isEmpty();
  }

  /**
   * Finds the crash record of a request.
   *
   * @param fingerprint the request
   * @return its record, if there is one
   */
  public Optional<CrashRecord> find(Fingerprint fingerprint) {
    return records.find(fingerprint);
  }

  /**
   * Returns the number of upstreams known to have crashed under a request, unless another suspect
   * is known to be the cause.
   *
   * @param fingerprint the request
   * @return the number of crashes
   */
  public int crashCount(Fingerprint fingerprint) {
    long nowMs = timers.nowMs();
    return find(fingerprint).map(record -> suspects.countUnexplained(record, nowMs)).orElse(0);
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param fingerprints the request and the parts of its prompt
   * @return the verdict as of now
   */
  CrashVerdict judge(List<Fingerprint> fingerprints) {
    return suspects.judge(fingerprints, timers.nowMs());
  }

  /** Returns the requests that wait until suspects are told apart. */
  TrialQueue trials() {
    return trials;
  }

  /** Describes for the log which other suspects have crashes in common with a record. */
  String describeSharing(CrashRecord record) {
    return suspects
        .sharing(record)
        .map(other -> other.fingerprint().toString())
        .sorted()
        .collect(Collectors.joining(" "));
  }

  /**
   * Waits until it is known whether the number of crashes under a request has reached a limit.
   *
   * <p>A request may be repeated before the probe of its last upstream has completed. It waits only
   * if the result decides whether the request is sent, which takes milliseconds if the upstream is
   * reachable.
   *
   * @param fingerprint the request
   * @param limit the decisive number of crashes
   * @return completes when the count is certainly below the limit, the probes have completed or the
   *     maximum wait is over
   */
  public CompletableFuture<Void> awaitProbes(Fingerprint fingerprint, int limit) {
    return probes.await(fingerprint, crashCount(fingerprint), limit);
  }

  /**
   * Called when the connection to an upstream was closed or reset while it was running a request.
   *
   * <p>An upstream that is leaving closes connections with unfinished requests, and one that is no
   * longer in the list may be doing that: neither has crashed.
   *
   * @param suspects the request, and the parts of its prompt that may have crashed the upstream
   * @param upstream the upstream that was running it
   */
  public void onConnectionLost(List<Fingerprint> suspects, RegisteredUpstream upstream) {
    if (!isServing.test(upstream)) {
      return;
    }
    long lostMs = timers.nowMs();
    PendingProbes.PendingProbe probe = probes.begin(suspects, upstream);
    terminationProbe
        .hasTerminated(upstream)
        .exceptionally(error -> false)
        .thenAccept(
            terminated -> {
              if (terminated) {
                onCrash(suspects, upstream, lostMs);
              }
              probes.end(suspects, probe);
            });
  }

  /**
   * Records that an upstream has terminated while it was running a request.
   *
   * @param suspects the request, and the parts of its prompt that may have crashed the upstream
   * @param upstream the upstream that was running it
   * @param atMs the time of the crash
   */
  public void onCrash(List<Fingerprint> suspects, RegisteredUpstream upstream, long atMs) {
    suspects.forEach(fingerprint -> onCrash(fingerprint, upstream, atMs));
  }

  private void onCrash(Fingerprint fingerprint, RegisteredUpstream upstream, long atMs) {
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

  /** Merges a record from this instance or another one. */
  private void add(CrashRecord update) {
    long nowMs = timers.nowMs();
    Optional<CrashRecord> known = records.find(update.fingerprint());
    CrashRecord record = records.add(update, nowMs);
    boolean wasQuarantined = known.filter(before -> before.isQuarantined(nowMs)).isPresent();
    boolean isQuarantined = record.isQuarantined(nowMs);
    if (known.filter(record::equals).isPresent() || !(wasQuarantined || isQuarantined)) {
      return;
    }
    updateSuspects();
    timers.after(Suspects.SETTLE_MS, this::updateSuspects);
    if (isQuarantined) {
      saveIfReportedBySelf(record);
    }
  }

  /**
   * Saves a row only at the few instances that detected a crash themselves; the others need not.
   */
  private void saveIfReportedBySelf(CrashRecord record) {
    if (record.crashes().stream().anyMatch(crash -> crash.reporter().equals(self.id()))) {
      table.save(record.fingerprint());
    }
  }

  private void updateSuspects() {
    long nowMs = timers.nowMs();
    synchronized (this) {
      Suspects before = suspects;
      suspects =
          Suspects.of(
              records.list(record -> record.isQuarantined(nowMs), Integer.MAX_VALUE), nowMs);
      log(before, suspects, nowMs);
    }
    trials.onSuspectsChanged();
  }

  private void log(Suspects before, Suspects after, long nowMs) {
    without(after.identified(), before.identified())
        .flatMap(fingerprint -> find(fingerprint).stream())
        .forEach(
            record ->
                Logger.warn(
                    "request refused from now on fingerprint={} retryAfterMs={} crashes={}",
                    record.fingerprint(),
                    record.retryAfterMs(nowMs),
                    record.describe(nowMs)));
    without(after.undecided(), before.undecided())
        .flatMap(fingerprint -> find(fingerprint).stream())
        .forEach(
            record ->
                Logger.warn(
                    "request sent only as a trial from now on fingerprint={} others={} crashes={}",
                    record.fingerprint(),
                    describeSharing(record),
                    record.describe(nowMs)));
    without(after.cleared(), before.cleared())
        .forEach(
            fingerprint ->
                Logger.info(
                    "request served again fingerprint={} causes={}",
                    fingerprint,
                    after.identified()));
    Stream.concat(before.identified().stream(), before.undecided().stream())
        .filter(fingerprint -> crashCount(fingerprint) == 0)
        .forEach(
            fingerprint ->
                Logger.info("request served again fingerprint={} answered", fingerprint));
  }

  private static Stream<Fingerprint> without(Set<Fingerprint> after, Set<Fingerprint> before) {
    return after.stream().filter(fingerprint -> !before.contains(fingerprint));
  }

  /**
   * Called when a run of a request has succeeded, or an answer to a part of a prompt has begun,
   * which shows that it did not cause the earlier crashes, including those that are still being
   * probed.
   *
   * @param fingerprint the request or the part
   */
  public void onSuccess(Fingerprint fingerprint) {
    Optional<CrashRecord> probed =
        probes.contains(fingerprint) ? Optional.of(CrashRecord.of(fingerprint)) : Optional.empty();
    find(fingerprint)
        .filter(record -> !record.crashes().isEmpty())
        .or(() -> probed)
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
   * Called when a message of another instance arrives.
   *
   * @param message its records or sync request
   * @param sender the recipient of a reply
   */
  public void onMessage(CrashMessage message, InstanceRecord sender) {
    gossip.onMessage(message, sender);
  }

  /**
   * Returns the counters for the metrics.
   *
   * @return the current counters
   */
  public CrashCounts counts() {
    long nowMs = timers.nowMs();
    return new CrashCounts(
        records.count(
            record ->
                record.countAt(nowMs) > 0
                    && suspects.countUnexplained(record, nowMs) < CrashRecord.MAX_CRASHES),
        records.count(
            record -> suspects.countUnexplained(record, nowMs) >= CrashRecord.MAX_CRASHES),
        gossip.sentCount(),
        gossip.receivedCount(),
        records.droppedCount());
  }
}
