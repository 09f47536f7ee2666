package io.mothrill.lab.load;

import io.mothrill.wire.http.Address;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Sends calls on a fixed schedule, whether or not earlier ones were answered (open loop).
 *
 * <p>Latencies are measured from the scheduled start of a call, so that a stalled server cannot
 * hide its queueing delay by slowing down the caller (coordinated omission).
 */
public final class OpenLoopSender {

  private final CheckingCaller caller;

  /**
   * Creates the schedule.
   *
   * @param caller the caller that sends the calls
   */
  public OpenLoopSender(CheckingCaller caller) {
    this.caller = caller;
  }

  /**
   * Sends calls at a constant rate and waits for all answers.
   *
   * @param calls creates the call with a given number, from 0
   * @param count the number of calls
   * @param perSecond the number of calls per second
   * @param targets returns the address for the next call
   * @return the results, in the order of the calls
   */
  public List<CallResult> run(
      IntFunction<Call> calls, int count, double perSecond, Supplier<Address> targets) {
    return join(start(calls, count, perSecond, targets));
  }

  /**
   * Sends calls at a constant rate.
   *
   * @param calls creates the call with a given number, from 0
   * @param count the number of calls
   * @param perSecond the number of calls per second
   * @param targets returns the address for the next call
   * @return the pending results, in the order of the calls
   */
  public List<CompletableFuture<CallResult>> start(
      IntFunction<Call> calls, int count, double perSecond, Supplier<Address> targets) {
    long startNanos = System.nanoTime();
    double intervalNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
    List<CompletableFuture<CallResult>> results = new ArrayList<>(count);
    for (int number = 0; number < count; number++) {
      long scheduledNanos = startNanos + (long) (number * intervalNanos);
      sleepUntil(scheduledNanos);
      results.add(caller.send(targets.get(), calls.apply(number), scheduledNanos));
    }
    return results;
  }

  /**
   * Waits for results.
   *
   * @param results the pending results
   * @return the results
   */
  public static List<CallResult> join(List<CompletableFuture<CallResult>> results) {
    return results.stream().map(CompletableFuture::join).toList();
  }

  private static void sleepUntil(long scheduledNanos) {
    long remainingNanos = scheduledNanos - System.nanoTime();
    if (remainingNanos > 0) {
      try {
        TimeUnit.NANOSECONDS.sleep(remainingNanos);
      } catch (InterruptedException ex) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
