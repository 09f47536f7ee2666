package io.mothrill.core.forward.upstream;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends what is known of upstreams to other instances; what it sends may be lost. */
@FunctionalInterface
public interface UpstreamStatusReportSender {

  /**
   * Sends one report.
   *
   * @param report what to tell
   * @param to the instances that get it
   */
  void send(UpstreamStatusReport report, List<InstanceRecord> to);
}
