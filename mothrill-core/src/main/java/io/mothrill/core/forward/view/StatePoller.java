package io.mothrill.core.forward.view;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.StaleRegistrationFilter;
import io.mothrill.core.forward.upstream.UpstreamList;
import io.mothrill.core.time.Timers;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Polls the plan and the upstreams and publishes newer versions.
 *
 * <p>Reads are periodic and do not wait for change notifications: a subscription can stall
 * unnoticed while changes are made. Most reads are incremental. If all were full, a list of a
 * hundred upstreams would take a tenth of a small instance's link, which its callers need. One in
 * four reads is full, in case a change was missed.
 *
 * <p>Reads start on schedule even if earlier ones are still pending. If a read that hangs on a
 * stalled connection delayed the next one, the view would be older by the timeout of the read, and
 * an upstream that is leaving would get requests for too long. A response counts only if none to a
 * later read has arrived.
 */
public final class StatePoller {

  /** Registrations last several heartbeats, so none expires in a shorter outage. */
  private static final long MIN_OUTAGE_MS = 1_000;

  /** Four reads fit into the time in which a change must be known, so one of them is full. */
  private static final int FULL_READ_EVERY = 4;

  private final StateSource source;
  private final PublishedValue<ForwardingPlan> plan;
  private final PublishedValue<Set<String>> evacuatedDomains;
  private final PublishedValue<UpstreamList> upstreams;
  private final Timers timers;
  private final ViewSettings settings;
  private final StaleRegistrationFilter staleFilter = new StaleRegistrationFilter();
  private final AtomicInteger planReadCount = new AtomicInteger();
  private final AtomicInteger upstreamsReadCount = new AtomicInteger();
  private OptionalLong unreachableSinceMs = OptionalLong.empty();
  private long reachableSinceMs = Long.MIN_VALUE / 2;
  private long upstreamsStartedMs = Long.MIN_VALUE;
  private long evacuationsStartedMs = Long.MIN_VALUE;
  private long lastAnsweredStartMs = Long.MIN_VALUE;
  private volatile long planReadMs;
  private volatile long upstreamsReadMs;

  /**
   * Creates the poller and starts the first reads.
   *
   * @param source the source to read from
   * @param plan the plan in force; its version only increases
   * @param evacuatedDomains the failure domains that operators are evacuating
   * @param upstreams the registered upstreams
   * @param timers the clock
   * @param settings the poll intervals
   */
  public StatePoller(
      StateSource source,
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<Set<String>> evacuatedDomains,
      PublishedValue<UpstreamList> upstreams,
      Timers timers,
      ViewSettings settings) {
    this.source = source;
    this.plan = plan;
    this.evacuatedDomains = evacuatedDomains;
    this.upstreams = upstreams;
    this.timers = timers;
    this.settings = settings;
    this.planReadMs = timers.nowMs();
    this.upstreamsReadMs = planReadMs;
    readConfig();
    readUpstreams();
    timers.every(settings.planPollMs(), this::readConfig);
    timers.every(settings.upstreamPollMs(), this::readUpstreams);
  }

  private void readConfig() {
    long startedMs = timers.nowMs();
    var unused =
        source
            .readConfig(modeOf(planReadCount.getAndIncrement()))
            .thenAccept(
                read -> {
                  read.plan().ifPresent(this::applyPlan);
                  applyEvacuations(startedMs, read.evacuatedDomains());
                  planReadMs = timers.nowMs();
                })
            .whenComplete((nothing, error) -> recordOutcome(startedMs, error));
  }

  private static ReadMode modeOf(int readCount) {
    return readCount % FULL_READ_EVERY == 0 ? ReadMode.FULL : ReadMode.INCREMENTAL;
  }

  private void applyPlan(ForwardingPlan read) {
    if (read.version() <= plan.read().version()) {
      return;
    }
    Logger.info("plan in force version={} before={}", read.version(), plan.read().version());
    plan.update(before -> read.version() > before.version() ? read : before);
  }

  /**
   * Publishes the evacuated failure domains. They have no version, so a response counts only if
   * none to a later read has arrived.
   */
  private synchronized void applyEvacuations(long startedMs, Set<String> read) {
    if (startedMs < evacuationsStartedMs) {
      return;
    }
    evacuationsStartedMs = startedMs;
    Set<String> before = evacuatedDomains.read();
    if (!before.equals(read)) {
      Logger.info("evacuated domains now={} before={}", read, before);
      evacuatedDomains.publish(read);
    }
  }

  private void readUpstreams() {
    long startedMs = timers.nowMs();
    var unused =
        source
            .readUpstreams(modeOf(upstreamsReadCount.getAndIncrement()))
            .thenAccept(read -> applyUpstreams(startedMs, read))
            .whenComplete((nothing, error) -> recordOutcome(startedMs, error));
  }

  /**
   * Publishes a list of upstreams.
   *
   * <p>Registrations expire while the store is unreachable although the upstreams are alive, and
   * after an outage a whole service would seem to be gone. Upstreams register again within about
   * two seconds, so missing ones are kept for that long after the store is reachable again and
   * removed after that.
   *
   * <p>Most reads return an unchanged list, which is not published: processing a list of dozens of
   * upstreams each time takes a small instance more time than its requests do.
   */
  private synchronized void applyUpstreams(long startedMs, UpstreamList read) {
    if (startedMs < upstreamsStartedMs) {
      return;
    }
    upstreamsStartedMs = startedMs;
    boolean inGracePeriod =
        wasUnreachable() || timers.nowMs() - reachableSinceMs < settings.recoveryGraceMs();
    upstreams.update(
        before -> {
          UpstreamList corrected = staleFilter.replaceStale(read, before);
          UpstreamList current = inGracePeriod ? corrected.withMissingFrom(before) : corrected;
          return current.hasSameContent(before) ? before : current;
        });
    upstreamsReadMs = timers.nowMs();
  }

  /**
   * Returns the age of the plan.
   *
   * @return milliseconds since it was last read, or since the start
   */
  public long planAgeMs() {
    return timers.nowMs() - planReadMs;
  }

  /**
   * Returns the age of the list of upstreams.
   *
   * @return milliseconds since it was last read, or since the start
   */
  public long upstreamsAgeMs() {
    return timers.nowMs() - upstreamsReadMs;
  }

  private boolean wasUnreachable() {
    return unreachableSinceMs.isPresent()
        && timers.nowMs() - unreachableSinceMs.getAsLong() >= MIN_OUTAGE_MS;
  }

  /** Records whether the store answered. A late failure is ignored if a later read was answered. */
  private synchronized void recordOutcome(long startedMs, Throwable error) {
    long nowMs = timers.nowMs();
    if (error != null && startedMs < lastAnsweredStartMs) {
      return;
    }
    lastAnsweredStartMs =
        error == null ? Math.max(lastAnsweredStartMs, startedMs) : lastAnsweredStartMs;
    if (error != null && unreachableSinceMs.isEmpty()) {
      unreachableSinceMs = OptionalLong.of(nowMs);
      Logger.warn("store lost: {}", Failures.unwrap(error).getMessage());
    }
    if (error == null && unreachableSinceMs.isPresent()) {
      if (wasUnreachable()) {
        startRecoveryGrace(nowMs);
      }
      unreachableSinceMs = OptionalLong.empty();
      Logger.info("store regained");
    }
  }

  /**
   * Starts to keep missing upstreams, and schedules a read for the end of the grace period.
   *
   * <p>An upstream may have been removed from the list while only this instance could not reach the
   * store. It would get requests until the next periodic read although it is leaving, so the list
   * is read again as soon as the grace period ends.
   */
  private void startRecoveryGrace(long nowMs) {
    reachableSinceMs = nowMs;
    var unused = timers.after(settings.recoveryGraceMs(), this::readUpstreams);
  }
}
