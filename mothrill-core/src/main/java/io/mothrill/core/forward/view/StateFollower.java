package io.mothrill.core.forward.view;

import io.mothrill.core.board.Section;
import io.mothrill.core.error.Failures;
import io.mothrill.core.forward.plan.ForwardingPlan;
import io.mothrill.core.forward.upstream.NewestWords;
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
public final class StateFollower {

  /** Registrations last several heartbeats; a shorter outage lets none lapse. */
  private static final long LAPSE_MIN_MS = 1_000;

  /** With four reads in the time in which a change must be known, one of them is whole. */
  private static final int WHOLE_EVERY = 4;

  private final DeclaredState state;
  private final Section<ForwardingPlan> plan;
  private final Section<Set<String>> evacuatedDomains;
  private final Section<UpstreamList> upstreams;
  private final Timers timers;
  private final ViewSettings settings;
  private final NewestWords words = new NewestWords();
  private final AtomicInteger planTurn = new AtomicInteger();
  private final AtomicInteger upstreamsTurn = new AtomicInteger();
  private OptionalLong lostMs = OptionalLong.empty();
  private long regainedMs = Long.MIN_VALUE / 2;
  private long upstreamsStartedMs = Long.MIN_VALUE;
  private long evacuationsStartedMs = Long.MIN_VALUE;
  private long answeredStartedMs = Long.MIN_VALUE;
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
  public StateFollower(
      DeclaredState state,
      Section<ForwardingPlan> plan,
      Section<Set<String>> evacuatedDomains,
      Section<UpstreamList> upstreams,
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
    readDeclaration();
    readUpstreams();
    timers.every(settings.planPollMs(), this::readDeclaration);
    timers.every(settings.upstreamPollMs(), this::readUpstreams);
  }

  private void readDeclaration() {
    long startedMs = timers.nowMs();
    var unused =
        state
            .readDeclaration(extentOf(planTurn.getAndIncrement()))
            .thenAccept(
                read -> {
                  read.plan().ifPresent(this::takePlan);
                  takeEvacuations(startedMs, read.evacuatedDomains());
                  planReadMs = timers.nowMs();
                })
            .whenComplete((nothing, error) -> noteContact(startedMs, error));
  }

  private static ReadExtent extentOf(int turn) {
    return turn % WHOLE_EVERY == 0 ? ReadExtent.WHOLE : ReadExtent.CHANGES;
  }

  private void takePlan(ForwardingPlan read) {
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
  private synchronized void takeEvacuations(long startedMs, Set<String> read) {
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
            .readUpstreams(extentOf(upstreamsTurn.getAndIncrement()))
            .thenAccept(read -> takeUpstreams(startedMs, read))
            .whenComplete((nothing, error) -> noteContact(startedMs, error));
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
  private synchronized void takeUpstreams(long startedMs, UpstreamList read) {
    if (startedMs < upstreamsStartedMs) {
      return;
    }
    upstreamsStartedMs = startedMs;
    boolean returning = wasAway() || timers.nowMs() - regainedMs < settings.returnMs();
    upstreams.update(
        before -> {
          UpstreamList corrected = words.correct(read, before);
          UpstreamList current = returning ? corrected.keeping(before) : corrected;
          return current.saysTheSameAs(before) ? before : current;
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

  private boolean wasAway() {
    return lostMs.isPresent() && timers.nowMs() - lostMs.getAsLong() >= LAPSE_MIN_MS;
  }

  /** A read that failed late says nothing if one that began after it was answered. */
  private synchronized void noteContact(long startedMs, Throwable error) {
    long nowMs = timers.nowMs();
    if (error != null && startedMs < answeredStartedMs) {
      return;
    }
    answeredStartedMs = error == null ? Math.max(answeredStartedMs, startedMs) : answeredStartedMs;
    if (error != null && lostMs.isEmpty()) {
      lostMs = OptionalLong.of(nowMs);
      Logger.warn("store lost: {}", Failures.unwrap(error).getMessage());
    }
    if (error == null && lostMs.isPresent()) {
      if (wasAway()) {
        noteReturn(nowMs);
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
  private void noteReturn(long nowMs) {
    regainedMs = nowMs;
    var unused = timers.after(settings.returnMs(), this::readUpstreams);
  }
}
