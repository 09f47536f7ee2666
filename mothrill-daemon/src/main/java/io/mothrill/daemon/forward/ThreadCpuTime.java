package io.mothrill.daemon.forward;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** The CPU time of this process's Java threads, read on demand. */
final class ThreadCpuTime {

  private static final long NANOS_PER_MS = 1_000_000;

  private ThreadCpuTime() {}

  /** Returns the sum over all live Java threads, without the JVM's internal threads. */
  static long totalCpuMs() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getAllThreadIds()).map(threads::getThreadCpuTime).sum()
        / NANOS_PER_MS;
  }
}
