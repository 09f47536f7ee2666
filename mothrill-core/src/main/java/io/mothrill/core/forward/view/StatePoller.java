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
 * Reads plan and upstreams again and again and publishes what is newer.
 *
 * <p>Reads go by the clock and never wait for changes: what waits may fall silent while changes are
 * made, and nothing shows it. Most of them ask only for what has changed since the last one. Were
 * all of them whole, a list of a hundred upstreams would take a tenth of a small instance's link,
 * which its callers need. One in four is whole, in case changes were not told.
 *
 * <p>Failure: a read hangs on a connection that has gone silent. Symptom: if the next one waited
 * for it, the view would be older by its time-out, and an upstream that leaves would get requests
 * for too long. So reads begin at their time whatever has become of those before, and an answer
 * counts only if none to a later read has come.
 */
public final class StatePoller {

  /** Registrations last several heartbeats; a shorter outage lets none lapse. */
  private static final long MIN_OUTAGE_MS = 1_000;

  /** With four reads in the time in which a change must be known, one of them is whole. */
  private static final int FULL_READ_EVERY = 4;

  private final StateSource state;
  private final PublishedValue<ForwardingPlan> plan;
  private final PublishedValue<Set<String>> evacuatedDomains;
  private final PublishedValue<UpstreamList> upstreams;
  private final Timers timers;
  private final ViewSettings settings;
  private final StaleRegistrationFilter staleFilter = new StaleRegistrationFilter();
  private final AtomicInteger planReadCount = new AtomicInteger();
  private final AtomicInteger upstreamsReadCount = new AtomicInteger();
  private OptionalLong lostMs = OptionalLong.empty();
  private long regainedMs = Long.MIN_VALUE / 2;
  private long upstreamsStartedMs = Long.MIN_VALUE;
  private long evacuationsStartedMs = Long.MIN_VALUE;
  private long lastAnsweredStartMs = Long.MIN_VALUE;
  private volatile long planReadMs;
  private volatile long upstreamsReadMs;

  /**
   * Creates the follower and reads at once.
   *
   * @param state where to read
   * @param plan the plan in force, which only gets newer
   * @param evacuatedDomains the failure domains that operators are emptying
   * @param upstreams the upstreams that are there
   * @param timers the time
   * @param settings how often to read
   */
  public StatePoller(
      StateSource state,
      PublishedValue<ForwardingPlan> plan,
      PublishedValue<Set<String>> evacuatedDomains,
      PublishedValue<UpstreamList> upstreams,
      Timers timers,
      ViewSettings settings) {
    this.state = state;
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
        state
            .readConfig(modeOf(planReadCount.getAndIncrement()))
            .thenAccept(
                read -> {
                  read.plan().ifPresent(this::applyPlan);
                  applyEvacuations(startedMs, read.evacuatedDomains());
                  planReadMs = timers.nowMs();
                })
            .whenComplete((nothing, error) -> recordOutcome(startedMs, error));
  }

  private static ReadMode modeOf(int turn) {
    return turn % FULL_READ_EVERY == 0 ? ReadMode.FULL : ReadMode.INCREMENTAL;
  }

  private void applyPlan(ForwardingPlan read) {
    if (read.version() <= plan.read().version()) {
      return;
    }
    Logger.info("plan in force version={} before={}", read.version(), plan.read().version());
    plan.update(before -> read.version() > before.version() ? read : before);
  }

  /**
   * Publishes which domains are being emptied. They carry no version, so an answer counts only if
   * none to a later read has come.
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
        state
            .readUpstreams(modeOf(upstreamsReadCount.getAndIncrement()))
            .thenAccept(read -> applyUpstreams(startedMs, read))
            .whenComplete((nothing, error) -> recordOutcome(startedMs, error));
  }

  /**
   * Publishes a list of upstreams.
   *
   * <p>Failure: registrations lapse while the store is away, though the upstreams live. Symptom:
   * after an outage a whole service seems gone. Upstreams register again within about two seconds,
   * so missing ones are kept for that long after contact is regained, and are gone after that.
   *
   * <p>Most reads find what the last one found; nobody is told of those, as working through a list
   * of dozens of upstreams each time takes a small instance more than its requests do.
   */
  private synchronized void applyUpstreams(long startedMs, UpstreamList read) {
    if (startedMs < upstreamsStartedMs) {
      return;
    }
    upstreamsStartedMs = startedMs;
    boolean returning =
        wasUnreachable() || timers.nowMs() - regainedMs < settings.recoveryGraceMs();
    upstreams.update(
        before -> {
          UpstreamList corrected = staleFilter.replaceStale(read, before);
          UpstreamList current = returning ? corrected.withMissingFrom(before) : corrected;
          return current.hasSameContent(before) ? before : current;
        });
    upstreamsReadMs = timers.nowMs();
  }

  /**
   * Says how old the view of the plan is.
   *
   * @return milliseconds since it was last read, or since the start
   */
  public long planAgeMs() {
    return timers.nowMs() - planReadMs;
  }

  /**
   * Says how old the view of the upstreams is.
   *
   * @return milliseconds since they were last read, or since the start
   */
  public long upstreamsAgeMs() {
    return timers.nowMs() - upstreamsReadMs;
  }

  private boolean wasUnreachable() {
    return lostMs.isPresent() && timers.nowMs() - lostMs.getAsLong() >= MIN_OUTAGE_MS;
  }

  /** A read that failed late says nothing if one that began after it was answered. */
  private synchronized void recordOutcome(long startedMs, Throwable error) {
    long nowMs = timers.nowMs();
    if (error != null && startedMs < lastAnsweredStartMs) {
      return;
    }
    lastAnsweredStartMs =
        error == null ? Math.max(lastAnsweredStartMs, startedMs) : lastAnsweredStartMs;
    if (error != null && lostMs.isEmpty()) {
      lostMs = OptionalLong.of(nowMs);
      Logger.warn("store lost: {}", Failures.unwrap(error).getMessage());
    }
    if (error == null && lostMs.isPresent()) {
      if (wasUnreachable()) {
        startRecoveryGrace(nowMs);
      }
      lostMs = OptionalLong.empty();
      Logger.info("store regained");
    }
  }

  /**
   * Begins to keep missing upstreams, and reads once more when that ends.
   *
   * <p>Failure: an upstream was taken off the list while the store was out of reach of this
   * instance only. Symptom: until the next turn to read, it gets requests though it leaves. Reading
   * at the end of the time makes that turn come at once.
   */
  private void startRecoveryGrace(long nowMs) {
    regainedMs = nowMs;
    var unused = timers.after(settings.recoveryGraceMs(), this::readUpstreams);
  }
}
