package io.mothrill.daemon.forward;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/** Processor time of this process's Java threads, read only when somebody asks for it. */
final class ThreadCpuTime {

  private static final long NANOS_PER_MS = 1_000_000;

  private ThreadCpuTime() {}

  /** Adds up all live threads; threads of the runtime itself are not among them. */
  static long totalCpuMs() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    return Arrays.stream(threads.getAllThreadIds()).map(threads::getThreadCpuTime).sum()
        / NANOS_PER_MS;
  }
}
