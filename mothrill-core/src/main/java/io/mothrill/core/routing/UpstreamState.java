package io.mothrill.core.routing;

import io.mothrill.core.forward.upstream.RegisteredUpstream;
import io.mothrill.core.forward.upstream.RegistrationVersion;
import io.mothrill.core.resource.Priority;
import io.mothrill.core.resource.UpstreamSpec;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/** One upstream as this instance sees it: exact counts of its own calls, and late reports. */
public final class UpstreamState {

  private final String name;
  private final AtomicReference<UpstreamSpec> spec;
  private final AtomicInteger urgentInFlight = new AtomicInteger();
  private final AtomicInteger batchInFlight = new AtomicInteger();
  private final AtomicReference<Optional<LoadReport>> report =
      new AtomicReference<>(Optional.empty());
  private final AtomicInteger ownAtReport = new AtomicInteger();
  private volatile long avoidUntilMs;
  private final AtomicLong backoffUntilMs = new AtomicLong(Long.MIN_VALUE);
  private volatile boolean leaving;
  private volatile boolean evacuated;

  UpstreamState(String name, UpstreamSpec spec) {
    this.name = name;
    this.spec = new AtomicReference<>(spec);
  }

  /**
   * Gives the resource's name.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Gives what was declared.
   *
   * @return the spec in force
   */
  public UpstreamSpec spec() {
    return spec.get();
  }

  /**
   * Describes it as one start of an upstream. Declared upstreams do not tell when they started.
   *
   * @return the upstream as it is declared now
   */
  public RegisteredUpstream asServing() {
    UpstreamSpec declared = spec();
    return new RegisteredUpstream(
        name,
        declared.service(),
        declared.host(),
        declared.port(),
        declared.domain(),
        declared.slots(),
        isLeaving(),
        OptionalLong.empty(),
        RegistrationVersion.UNKNOWN);
  }

  void markEvacuated(boolean now) {
    evacuated = now;
  }

  /**
   * Says whether operators are emptying the upstream's failure domain.
   *
   * @return true when it must get nothing new for now
   */
  public boolean isEvacuated() {
    return evacuated;
  }

  void updateSpec(UpstreamSpec next) {
    spec.set(next);
  }

  /**
   * Counts this instance's calls at the upstream.
   *
   * @return calls of both classes
   */
  public int inFlight() {
    return urgentInFlight.get() + batchInFlight.get();
  }

  /**
   * Counts this instance's calls of one class at the upstream.
   *
   * @param priority the class
   * @return calls
   */
  public int inFlight(Priority priority) {
    return counter(priority).get();
  }

  void beginCall(Priority priority) {
    counter(priority).incrementAndGet();
  }

  void endCall(Priority priority) {
    counter(priority).decrementAndGet();
  }

  private AtomicInteger counter(Priority priority) {
    return priority == Priority.URGENT ? urgentInFlight : batchInFlight;
  }

  /**
   * Takes a report.
   *
   * @param next the report
   */
  public void report(LoadReport next) {
    ownAtReport.set(inFlight());
    report.set(Optional.of(next));
    if (next.leaving()) {
      leaving = true;
    }
  }

  /**
   * Estimates the calls of other instances at the upstream.
   *
   * <p>A report counts everyone's calls. What this instance had there itself is taken off, and the
   * rest fades with the report's age, since the others' calls end unseen.
   *
   * @param nowMs the time
   * @param fadeMs the age at which a report counts for nothing
   * @return estimated calls of others, at least 0
   */
  public double othersInFlight(long nowMs, long fadeMs) {
    return report
        .get()
        .map(
            seen -> {
              double others = Math.max(0, seen.running() + seen.queued() - ownAtReport.get());
              double age = Math.min(1, Math.max(0, (double) (nowMs - seen.atMs()) / fadeMs));
              return others * (1 - age);
            })
        .orElse(0.0);
  }

  /**
   * Gives the last report.
   *
   * @return the report, or empty when none came yet
   */
  public Optional<LoadReport> lastReport() {
    return report.get();
  }

  /** Takes the upstream out of choice for good, because a source said that it is leaving. */
  public void markLeaving() {
    leaving = true;
  }

  /**
   * Says whether the upstream must get nothing new.
   *
   * @return true when the configuration, a report or a refusal said so
   */
  public boolean isLeaving() {
    return leaving || spec().leaving();
  }

  /**
   * Gives the upstream nothing new for a time that it has asked for; a longer one stands.
   *
   * @param untilMs the time on the timer service
   */
  public void backOffUntil(long untilMs) {
    backoffUntilMs.accumulateAndGet(untilMs, Math::max);
  }

  /**
   * Says how much longer the upstream wants nothing new.
   *
   * @param nowMs the time
   * @return milliseconds; 0 when it takes calls
   */
  public long backoffLeftMs(long nowMs) {
    return backoffUntilMs.get() <= nowMs ? 0 : backoffUntilMs.get() - nowMs;
  }

  /**
   * Keeps new calls away for a while after a failure.
   *
   * @param untilMs the time on the timer service
   */
  public void avoidUntil(long untilMs) {
    avoidUntilMs = untilMs;
  }

  /**
   * Says whether the upstream failed of late.
   *
   * @param nowMs the time
   * @return true while others are to be preferred
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs;
  }
}
