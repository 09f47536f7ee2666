package io.mothrill.core.drain;

import io.mothrill.core.board.PublishedValue;
import io.mothrill.core.time.Subscription;
import io.mothrill.core.time.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Takes an instance out of service in stages.
 *
 * <p>If the process stopped while the load balancer still sends requests to it, callers would be
 * disconnected. Readiness therefore fails first, and requests are still served until the load
 * balancer has had time to notice. Only then are new requests refused, and the process exits when
 * the last request in flight has ended.
 *
 * <p>The order of stages follows "Shutdown &amp; fleets" of the forze documentation: announce,
 * drain while serving, shut down.
 */
public final class DrainController {

  private static final long CHECK_MS = 50;

  private final PublishedValue<DrainStage> stage;
  private final Timers timers;
  private final DrainSettings settings;
  private final DrainWork work;
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private Subscription pendingCheck = () -> {};

  /**
   * Creates the controller.
   *
   * @param stage the published value of the stage
   * @param timers the clock and timer service
   * @param settings the durations of the stages
   * @param work the work of each stage
   */
  public DrainController(
      PublishedValue<DrainStage> stage, Timers timers, DrainSettings settings, DrainWork work) {
    this.stage = stage;
    this.timers = timers;
    this.settings = settings;
    this.work = work;
  }

  /**
   * Starts the drain. Calling it again has no effect.
   *
   * @return completes when the process may exit
   */
  public synchronized CompletableFuture<Void> drain() {
    if (stage.read() == DrainStage.SERVING) {
      enterStage(DrainStage.ANNOUNCED);
      work.announce();
      timers.after(settings.announceMs(), this::refuseNew);
    }
    return done;
  }

  private void refuseNew() {
    enterStage(DrainStage.FINISHING);
    long startedMs = timers.nowMs();
    awaitThen(work::isIdle, startedMs + settings.finishMs(), this::handOver);
  }

  private void handOver() {
    enterStage(DrainStage.HANDING_OVER);
    work.handOver();
    awaitThen(work::isHandedOver, timers.nowMs() + settings.handOverMs(), this::finish);
  }

  private void finish() {
    enterStage(DrainStage.DONE);
    done.complete(null);
  }

  private void awaitThen(BooleanSupplier condition, long latestMs, Runnable next) {
    pendingCheck =
        timers.every(
            CHECK_MS,
            () -> {
              boolean late = timers.nowMs() >= latestMs;
              if (late && !condition.getAsBoolean()) {
                Logger.warn("drain stage {} timed out", stage.read());
              }
              if (late || condition.getAsBoolean()) {
                pendingCheck.cancel();
                next.run();
              }
            });
  }

  private void enterStage(DrainStage next) {
    Logger.info("drain stage={}", next);
    stage.publish(next);
  }
}
