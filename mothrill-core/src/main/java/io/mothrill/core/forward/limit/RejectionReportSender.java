package io.mothrill.core.forward.limit;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends reports about brittle upstreams to other instances; reports may be lost. */
@FunctionalInterface
public interface RejectionReportSender {

  /**
   * Sends one report.
   *
   * @param report the report
   * @param to the recipients
   */
  void send(RejectionReport report, List<InstanceRecord> to);
}
