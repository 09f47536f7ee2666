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

/**
 * The state of one upstream as seen by this instance: exact counts of its own calls, and load
 * reports that lag.
 */
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
   * Returns the resource's name.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the spec of the upstream.
   *
   * @return the spec in the current configuration
   */
  public UpstreamSpec spec() {
    return spec.get();
  }

  /**
   * Returns this upstream as a registered upstream. The start time is empty, because the
   * configuration does not contain it.
   *
   * @return the upstream as it is declared now
   */
  public RegisteredUpstream asRegistered() {
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
   * Checks whether operators are evacuating the failure domain of the upstream.
   *
   * @return true when it must get no new calls for now
   */
  public boolean isEvacuated() {
    return evacuated;
  }

  void updateSpec(UpstreamSpec next) {
    spec.set(next);
  }

  /**
   * Returns the number of calls that this instance has in flight at the upstream.
   *
   * @return the calls of both classes
   */
  public int inFlight() {
    return urgentInFlight.get() + batchInFlight.get();
  }

  /**
   * Returns the number of calls of one class that this instance has in flight at the upstream.
   *
   * @param priority the class
   * @return the calls of that class
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
   * Records a load report of the upstream.
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
   * <p>A report counts the calls of all instances. The calls that this instance had in flight when
   * the report arrived are subtracted. The weight of the remainder decreases linearly with the age
   * of the report, because this instance does not see the calls of others end.
   *
   * @param nowMs the current time of the timer service, in milliseconds
   * @param fadeMs the age at which a report has no weight any more
   * @return the estimated number of calls, at least 0
   */
  public double othersInFlight(long nowMs, long fadeMs) {
    return report
        .get()
        .map(
            loadReport -> {
              double others =
                  Math.max(0, loadReport.running() + loadReport.queued() - ownAtReport.get());
              double age = Math.min(1, Math.max(0, (double) (nowMs - loadReport.atMs()) / fadeMs));
              return others * (1 - age);
            })
        .orElse(0.0);
  }

  /**
   * Returns the last load report.
   *
   * @return the report, or empty when none has arrived yet
   */
  public Optional<LoadReport> lastReport() {
    return report.get();
  }

  /** Excludes the upstream from selection permanently, because it is leaving. */
  public void markLeaving() {
    leaving = true;
  }

  /**
   * Checks whether the upstream is leaving and must get no new calls.
   *
   * @return true when the configuration, a load report or a refusal announced it
   */
  public boolean isLeaving() {
    return leaving || spec().leaving();
  }

  /**
   * Sends no new calls to the upstream until the end of the backoff that it announced. A later end
   * that was announced before stays in effect.
   *
   * @param untilMs a time of the timer service, in milliseconds
   */
  public void backOffUntil(long untilMs) {
    backoffUntilMs.accumulateAndGet(untilMs, Math::max);
  }

  /**
   * Returns the remaining backoff of the upstream.
   *
   * @param nowMs the current time of the timer service, in milliseconds
   * @return milliseconds; 0 when it accepts calls
   */
  public long backoffLeftMs(long nowMs) {
    return backoffUntilMs.get() <= nowMs ? 0 : backoffUntilMs.get() - nowMs;
  }

  /**
   * Avoids the upstream until the given time, because a call to it failed.
   *
   * @param untilMs a time of the timer service, in milliseconds
   */
  public void avoidUntil(long untilMs) {
    avoidUntilMs = untilMs;
  }

  /**
   * Checks whether the upstream failed recently.
   *
   * @param nowMs the current time of the timer service, in milliseconds
   * @return true while other upstreams are preferred
   */
  public boolean isAvoided(long nowMs) {
    return nowMs < avoidUntilMs;
  }
}
