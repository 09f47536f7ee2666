package io.mothrill.core.forward.contention;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends reports about slow upstreams to other instances; reports may be lost. */
@FunctionalInterface
public interface ContentionReportSender {

  /**
   * Sends one report.
   *
   * @param report the report
   * @param to the recipients
   */
  void send(ContentionReport report, List<InstanceRecord> to);
}
