package io.mothrill.core.forward.view;

import io.mothrill.core.forward.view.table.TableRead;
import io.mothrill.core.time.Timers;
import java.util.OptionalLong;
import org.tinylog.Logger;

/**
 * Detects outages of the platform's store in which registrations may have expired.
 *
 * <p>Registrations expire while the store is unreachable although the upstreams are alive, and
 * after an outage a whole service would seem to be gone. Upstreams register again within about two
 * seconds, so missing ones are kept for that long after the store is reachable again.
 */
final class OutageDetector {

  /** Registrations last several heartbeats, so none expires in a shorter outage. */
  private static final long MIN_OUTAGE_MS = 1_000;

  /** Longer than the copy usually stays unconfirmed, shorter than a registration lasts. */
  private static final long MIN_GAP_MS = 2_000;

  private final long recoveryGraceMs;
  private final Timers timers;
  private final Runnable onGraceEnd;
  private OptionalLong unreachableSinceMs = OptionalLong.empty();
  private long reachableSinceMs = Long.MIN_VALUE / 2;
  private long lastAnsweredStartMs = Long.MIN_VALUE;
  private long gapEndedMs = Long.MIN_VALUE / 2;
  private long outageEndedMs = Long.MIN_VALUE / 2;
  private long confirmedMs = Long.MIN_VALUE / 2;

  OutageDetector(long recoveryGraceMs, Timers timers, Runnable onGraceEnd) {
    this.recoveryGraceMs = recoveryGraceMs;
    this.timers = timers;
    this.onGraceEnd = onGraceEnd;
  }

  /**
   * Checks whether registrations that are missing may only have expired. They have not while other
   * instances have read them throughout, even if the store refuses this instance; they may have if
   * nobody has read them for a time, even if this instance was not refused.
   */
  synchronized boolean isRecovering() {
    long nowMs = timers.nowMs();
    boolean wasReadThroughout =
        nowMs - gapEndedMs >= recoveryGraceMs && nowMs - confirmedMs < MIN_GAP_MS;
    return !wasReadThroughout
        && (wasUnreachable()
            || nowMs - reachableSinceMs < recoveryGraceMs
            || nowMs - outageEndedMs < recoveryGraceMs);
  }

  /**
   * Records that another instance has confirmed the upstreams.
   *
   * @param sinceMs the time on the store's clock until which they had been confirmed before
   * @param untilMs the time on the store's clock until which they are confirmed now
   */
  synchronized void onConfirmed(long sinceMs, long untilMs) {
    if (untilMs <= sinceMs) {
      return;
    }
    confirmedMs = timers.nowMs();
    if (untilMs - sinceMs >= MIN_GAP_MS) {
      gapEndedMs = confirmedMs;
      outageEndedMs = sinceMs == TableRead.UNCONFIRMED ? outageEndedMs : confirmedMs;
      var unused = timers.after(recoveryGraceMs, onGraceEnd);
    }
  }

  private boolean wasUnreachable() {
    return unreachableSinceMs.isPresent()
        && timers.nowMs() - unreachableSinceMs.getAsLong() >= MIN_OUTAGE_MS;
  }

  /** Records a read that failed. It is ignored if a later one was answered. */
  synchronized void onFailed(Throwable error, long startedMs) {
    if (startedMs >= lastAnsweredStartMs && unreachableSinceMs.isEmpty()) {
      unreachableSinceMs = OptionalLong.of(timers.nowMs());
      Logger.warn("store lost: {}", error.getMessage());
    }
  }

  /**
   * Records a read that was answered.
   *
   * <p>An upstream may have been removed from the list while only this instance could not reach the
   * store. It would get requests until the next periodic read although it is leaving, so the end of
   * the grace period is announced.
   */
  synchronized void onAnswered(long startedMs) {
    lastAnsweredStartMs = Math.max(lastAnsweredStartMs, startedMs);
    if (unreachableSinceMs.isEmpty()) {
      return;
    }
    if (wasUnreachable()) {
      reachableSinceMs = timers.nowMs();
      var unused = timers.after(recoveryGraceMs, onGraceEnd);
    }
    unreachableSinceMs = OptionalLong.empty();
    Logger.info("store regained");
  }
}
