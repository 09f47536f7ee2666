package io.mothrill.core.forward.limit;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends rate limits of upstreams to other instances; reports may be lost. */
@FunctionalInterface
public interface RateLimitReportSender {

  /**
   * Sends one report.
   *
   * @param report the report
   * @param to the recipients
   */
  void send(RateLimitReport report, List<InstanceRecord> to);
}
