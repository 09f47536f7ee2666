package io.mothrill.lab.load;

import io.mothrill.wire.http.Address;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * Sends calls on schedule, whether or not earlier ones were answered.
 *
 * <p>Latencies count from the time that a call was due, so a stalled server cannot hide its queue
 * by slowing down the caller.
 */
public final class Schedule {

  private final CheckingCaller caller;

  /**
   * Creates the schedule.
   *
   * @param caller sends the calls
   */
  public Schedule(CheckingCaller caller) {
    this.caller = caller;
  }

  /**
   * Sends a number of calls at a steady pace, and waits for all answers.
   *
   * @param calls makes the call with a given number, from 0
   * @param count how many calls
   * @param perSecond the pace
   * @param targets gives the instance for the next call
   * @return the results, in the order of the calls
   */
  public List<CallResult> run(
      IntFunction<Call> calls, int count, double perSecond, Supplier<Address> targets) {
    return join(start(calls, count, perSecond, targets));
  }

  /**
   * Sends a number of calls at a steady pace.
   *
   * @param calls makes the call with a given number, from 0
   * @param count how many calls
   * @param perSecond the pace
   * @param targets gives the instance for the next call
   * @return the results to come, in the order of the calls
   */
  public List<CompletableFuture<CallResult>> start(
      IntFunction<Call> calls, int count, double perSecond, Supplier<Address> targets) {
    long startNanos = System.nanoTime();
    double gapNanos = TimeUnit.SECONDS.toNanos(1) / perSecond;
    List<CompletableFuture<CallResult>> results = new ArrayList<>(count);
    for (int number = 0; number < count; number++) {
      long dueNanos = startNanos + (long) (number * gapNanos);
      sleepUntil(dueNanos);
      results.add(caller.send(targets.get(), calls.apply(number), dueNanos));
    }
    return results;
  }

  /**
   * Waits for results.
   *
   * @param results the results to come
   * @return the results
   */
  public static List<CallResult> join(List<CompletableFuture<CallResult>> results) {
    return results.stream().map(CompletableFuture::join).toList();
  }

  private static void sleepUntil(long dueNanos) {
    long leftNanos = dueNanos - System.nanoTime();
    if (leftNanos > 0) {
      try {
        TimeUnit.NANOSECONDS.sleep(leftNanos);
      } catch (InterruptedException ex) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
