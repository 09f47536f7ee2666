package io.mothrill.core.forward.crash;

import io.mothrill.core.platform.Cells;
import io.mothrill.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * The requests of this instance that wait until suspects are told apart, by a trial of their own or
 * of another request; thread-safe.
 */
final class TrialQueue {

  /** Retry-After of a request that has not become a trial: most trials are over by then. */
  static final long REFUSED_RETRY_AFTER_MS = 1_000;

  /** More requests than arrive while a trial lasts; further ones are refused at once. */
  private static final int MAX_WAITING = 256;

  /** Interval between two attempts to begin a trial while another one lasts. */
  private static final long POLL_MS = 500;

  /**
   * Time after the permit was granted in which a request may be sent. The remaining time of the
   * lease is for its outcome to reach the other instances.
   */
  private static final long SEND_WITHIN_MS = TrialTable.LEASE_MS / 2;

  private final TrialTable table;
  private final Timers timers;
  private final List<Waiter> waiting = new ArrayList<>();
  private boolean acquiring;
  private boolean polling;

  /**
   * A request that waits.
   *
   * @param notBeforeMs the time from which it may become a trial
   * @param turn completes with a permit, or empty when the request is to be judged again
   */
  private record Waiter(long notBeforeMs, CompletableFuture<Optional<TrialPermit>> turn) {}

  TrialQueue(TrialTable table, Timers timers) {
    this.table = table;
    this.timers = timers;
  }

  /** Checks whether no further request should wait. */
  synchronized boolean isFull() {
    return waiting.size() >= MAX_WAITING;
  }

  /**
   * Waits for a permit, a change of the suspects, or a time.
   *
   * @param notBeforeMs the time from which the request may become a trial
   * @param untilMs the latest time to wait for
   * @return the permit; empty if the request is to be judged again
   */
  CompletableFuture<Optional<TrialPermit>> await(long notBeforeMs, long untilMs) {
    Waiter waiter = new Waiter(notBeforeMs, new CompletableFuture<>());
    synchronized (this) {
      waiting.add(waiter);
    }
    long nowMs = timers.nowMs();
    timers.after(untilMs - nowMs, () -> withdraw(waiter));
    timers.after(notBeforeMs - nowMs, this::tryAcquire);
    return waiter.turn();
  }

  private void withdraw(Waiter waiter) {
    synchronized (this) {
      waiting.remove(waiter);
    }
    waiter.turn().complete(Optional.empty());
  }

  /** Called when suspects have been cleared or identified. */
  void onSuspectsChanged() {
    List<Waiter> judgedAgain;
    synchronized (this) {
      judgedAgain = List.copyOf(waiting);
      waiting.clear();
    }
    judgedAgain.forEach(waiter -> waiter.turn().complete(Optional.empty()));
  }

  private void tryAcquire() {
    synchronized (this) {
      if (acquiring || findNext().isEmpty()) {
        return;
      }
      acquiring = true;
    }
    long startMs = timers.nowMs();
    table
        .acquire()
        .whenComplete(
            (held, error) -> {
              if (error != null) {
                Logger.debug("no trial permit: {}", error.getMessage());
              }
              onAcquired(error == null ? held : Optional.empty(), startMs);
            });
  }

  private Optional<Waiter> findNext() {
    long nowMs = timers.nowMs();
    return waiting.stream().filter(waiter -> waiter.notBeforeMs() <= nowMs).findFirst();
  }

  private void onAcquired(Optional<Cells> held, long startMs) {
    Optional<Waiter> next;
    synchronized (this) {
      acquiring = false;
      next = held.flatMap(cells -> findNext());
      next.ifPresent(waiting::remove);
    }
    if (next.isPresent()) {
      grant(next.get(), newPermit(held.get(), startMs));
    } else {
      held.ifPresent(this::release);
    }
    pollLater();
  }

  /** A request that has stopped waiting meanwhile returns its permit. */
  private static void grant(Waiter waiter, TrialPermit permit) {
    if (!waiter.turn().complete(Optional.of(permit))) {
      permit.release();
    }
  }

  private TrialPermit newPermit(Cells held, long startMs) {
    return new TrialPermit(startMs + SEND_WITHIN_MS, timers::nowMs, () -> release(held));
  }

  private void release(Cells held) {
    table
        .release(held)
        .whenComplete(
            (released, error) -> {
              if (error != null) {
                Logger.debug("trial permit lapses: {}", error.getMessage());
              }
              tryAcquire();
            });
  }

  private void pollLater() {
    synchronized (this) {
      if (polling || waiting.isEmpty()) {
        return;
      }
      polling = true;
    }
    timers.after(
        POLL_MS,
        () -> {
          synchronized (this) {
            polling = false;
          }
          tryAcquire();
          pollLater();
        });
  }
}
