package io.mothrill.core.forward.upstream;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends the status of upstreams to other instances; reports may be lost. */
@FunctionalInterface
public interface UpstreamStatusReportSender {

  /**
   * Sends one report.
   *
   * @param report the report
   * @param to the recipients
   */
  void send(UpstreamStatusReport report, List<InstanceRecord> to);
}
