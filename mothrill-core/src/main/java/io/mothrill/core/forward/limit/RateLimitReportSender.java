package io.mothrill.core.forward.limit;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends what is known of limits to other instances; what it sends may be lost. */
@FunctionalInterface
public interface RateLimitReportSender {

  /**
   * Sends one report.
   *
   * @param report what to tell
   * @param to the instances that get it
   */
  void send(RateLimitReport report, List<InstanceRecord> to);
}
