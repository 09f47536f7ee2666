package io.mothrill.core.forward.view.exchange;

import io.mothrill.core.platform.InstanceRecord;
import java.util.List;

/** Sends notices about copies of tables; they may be lost. */
@FunctionalInterface
public interface ViewNoticeSender {

  /**
   * Sends a notice.
   *
   * @param notice the notice
   * @param to the recipients
   */
  void send(ViewNotice notice, List<InstanceRecord> to);
}
